"""Consistency of the result code table."""

from gentianfold.codes import all_codes


def test_numbers_and_names_are_unique_and_statuses_come_with_run_states():
    codes = all_codes().values()
    assert len({code.name for code in codes}) == len(codes)
    for code in codes:
        assert (code.status is None) == (code.run_state is None), code
        assert code.meaning.endswith(".") and code.remedy.endswith("."), code
