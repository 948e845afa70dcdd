"""Lent tokens are used once, by one VM, before the broker counts them as used."""

from __future__ import annotations

from gentianfold.fleet.token_stock import LOT_TERM_S, MAX_PENDING_ASKS, TokenStock


def stock_with(tokens, broker="b", at_s=0.0):
    stock = TokenStock(last_ask=0)
    ask = stock.ask(broker, at_s)
    stock.receive(broker, ask.number, tokens.items())
    return stock


def test_a_token_is_used_once():
    stock = stock_with({"c": 2})
    assert [stock.take("c", 0.1) for _ in range(3)] == [True, True, False]
    assert not stock.take("other", 0.1)


def test_tokens_end_with_a_term_that_begins_when_they_were_asked_for():
    stock = TokenStock(last_ask=0)
    ask = stock.ask("b", 0.0)
    stock.receive("b", ask.number, {"c": 1}.items())
    assert not stock.take("c", LOT_TERM_S)


def test_a_lot_that_comes_twice_is_taken_once():
    stock = TokenStock(last_ask=0)
    ask = stock.ask("b", 0.0)
    for _ in range(2):
        stock.receive("b", ask.number, {"c": 1}.items())
        stock.take("c", 0.1)
    assert not stock.take("c", 0.1)


def test_an_answer_of_another_broker_or_to_an_old_ask_is_ignored():
    stock = TokenStock(last_ask=0)
    first = stock.ask("b", 0.0)
    stock.receive("other", first.number, {"c": 1}.items())
    assert not stock.take("c", 0.1)
    for _ in range(MAX_PENDING_ASKS):
        stock.ask("b", 0.1)
    stock.receive("b", first.number, {"c": 1}.items())
    assert not stock.take("c", 0.1)


def test_lots_are_used_while_the_broker_is_late_and_after_it_changed():
    stock = stock_with({"c": 2})
    stock.ask("b", 0.4)
    assert stock.take("c", 0.5)
    stock.ask("next", 0.6)
    assert stock.take("c", 0.7)


def test_the_broker_hears_of_uses_and_of_the_end_until_it_answers():
    stock = stock_with({"c": 2})
    stock.take("c", 0.1)
    (running,) = stock.ask("b", 0.4).lots
    assert (running.number, running.is_final, running.used) == (1, False, (("c", 1),))
    late = stock.ask("b", LOT_TERM_S)
    assert late.lots[0].is_final
    again = stock.ask("b", LOT_TERM_S + 0.1)
    assert again.lots == late.lots
    stock.receive("b", late.number, ())
    assert stock.ask("b", LOT_TERM_S + 0.2).lots == ()


def test_an_answer_from_before_the_end_does_not_acknowledge_it():
    stock = stock_with({"c": 2})
    early = stock.ask("b", 0.9)
    stock.ask("b", LOT_TERM_S)
    stock.receive("b", early.number, ())
    assert len(stock.ask("b", LOT_TERM_S + 0.1).lots) == 1


def test_wishes_follow_the_requests_of_the_last_seconds():
    stock = TokenStock(last_ask=0)
    for number in range(20):
        stock.record_arrival("large", number / 10)
    stock.record_arrival("small", 1.9)
    wishes = dict(stock.ask("b", 2.0).wishes)
    assert wishes["large"] >= 5
    assert wishes["small"] == 1
    assert stock.ask("b", 60.0).wishes == ()
