"""Tests output and exit codes of the commands that read files."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from gentianfold.cli.main import run
from gentianfold.codes import all_codes

RULES = (
    "service s  # a: b\n"
    "route one GET /a service=s timeout=2s  # a: b\n"
    "route two POST /a service=s  # a: b\n"
)


@pytest.fixture
def write_file(tmp_path):
    def write(name, text):
        path = tmp_path / name
        path.write_text(text)
        return str(path)

    return write


def test_check_reports_all_errors_of_all_files(write_file, capsys):
    rules = write_file("rules", "service s\n")
    settings = write_file("vm.json", "{vm: 1}")
    argv = ["check", "--rules", rules, "--settings", settings]
    assert run([*argv, "--json"]) == 1
    failures = json.loads(capsys.readouterr().out)["failures"]
    numbers = [failure["number"] for failure in failures]
    assert sorted(numbers) == [1004] * 6 + [1005, 2003]
    assert run(argv) == 1
    assert f"{rules}:1:10: error 2003" in capsys.readouterr().err


def test_check_exit_codes_for_valid_missing_and_no_files(write_file, capsys):
    assert run(["check", "--rules", write_file("rules", RULES)]) == 0
    assert capsys.readouterr().out == "no faults\n"
    assert run(["check", "--rules", write_file("rules", RULES) + ".none"]) == 2
    assert run(["check", "--settings", write_file("vm", "") + ".none"]) == 2
    assert run(["check"]) == 2


def test_explain_shows_matching_and_similar_routes(write_file, capsys):
    rules = write_file("rules", RULES)
    assert run(["explain", "get", "/a", "--rules", rules]) == 0
    out = capsys.readouterr().out
    assert out.startswith("line 2: route one GET /a service=s timeout=2s  # a: b")
    assert "it takes POST, not GET" in out
    argv = ["explain", "PUT", "/a", "-H", "x-a: 1", "-H", "b:", "--rules", rules]
    assert run([*argv, "--json"]) == 1
    fields = json.loads(capsys.readouterr().out)
    assert fields["route"] is None and fields["failure"]["name"] == "no-route"
    assert [near["name"] for near in fields["near"]] == ["one", "two"]
    assert run(["explain", "GET", "/a", "-H", "x", "--rules", rules]) == 2
    assert run(["explain", "GET", "/a", "--rules", rules + ".none"]) == 2


def test_diff_shows_differences_in_effect(write_file, capsys):
    old = write_file("old", RULES)
    new = write_file("new", RULES.replace("timeout=2s", "timeout=3s"))
    assert run(["diff", old, old]) == 0
    assert run(["diff", old, new]) == 1
    assert "route one changed (timeout: 2s -> 3s)" in capsys.readouterr().out
    assert run(["diff", old, new, "--json"]) == 1
    (change,) = json.loads(capsys.readouterr().out)["changes"]
    assert change["action"] == "changed"
    assert change["fields"] == [{"name": "timeout", "old": "2s", "new": "3s"}]
    assert run(["diff", old, write_file("bad", "x")]) == 2


def test_page_of_result_codes_is_up_to_date(capsys):
    assert run(["errors", "--markdown"]) == 0
    page = Path(__file__).parents[2] / "docs" / "ERRORS.md"
    assert capsys.readouterr().out == page.read_text(), (
        "run `gentianfold errors --markdown > docs/ERRORS.md`"
    )


def test_errors_lists_all_codes_and_describes_one(capsys):
    assert run(["errors", "--json"]) == 0
    listed = json.loads(capsys.readouterr().out)
    assert [code["number"] for code in listed] == list(all_codes())
    assert run(["errors", "7001"]) == 0
    assert "status 404, not run" in capsys.readouterr().out
    assert run(["errors", "9"]) == 1


@pytest.mark.parametrize(
    ("argv", "code"),
    [
        (["--help"], 0),
        (["--version"], 0),
        (["check", "--help"], 0),
        ([], 2),
        (["chekc"], 2),
        (["status"], 2),
        (["errors", "x"], 2),
    ],
)
def test_exit_codes_of_help_and_usage_errors(argv, code):
    with pytest.raises(SystemExit) as exit_info:
        run(argv)
    assert exit_info.value.code == code
