"""The throttler's sums for one customer."""

from dataclasses import replace

from helpers import PLAN, customer, gateway, take


def test_target_is_never_below_reserved() -> None:
    one = customer()
    one.limiting = 1.0
    assert one.target == PLAN.rate


def test_soft_plan_falls_back_to_reserved_when_limited() -> None:
    one = customer(replace(PLAN, beyond_gain=0.2, beyond_cost=0.0))
    assert one.target > PLAN.rate
    one.limiting = PLAN.rate / 2
    assert one.target == PLAN.rate


def test_restart_does_not_refill_the_ceilings_part() -> None:
    assert customer(uptime=0.0).part == 0.0
    assert customer(uptime=1.0).part == PLAN.ceiling_rate / 2


def test_parts_of_all_gateways_sum_to_the_ceiling() -> None:
    one = customer(gateways=3)
    assert abs(3 * one.part_depth - PLAN.ceiling_burst) < 1e-9
    assert abs(3 * one.part_rate - PLAN.ceiling_rate) < 1e-9


def test_count_that_began_anew_is_not_low_use() -> None:
    one = customer()
    one.others, one.total, one.store = 2.0, 50.0, 3.0
    one.news(1.0, 1.0, 101.0, 101.0)
    assert one.others == 2.0
    assert one.store == 3.0 + PLAN.rate - 2.0


def test_news_corrects_the_store_by_what_others_drew() -> None:
    one = customer()
    one.total, one.store = 10.0, 6.0
    one.news(15.0, 2.0, 100.0, 100.0)
    assert one.store == 3.0


def test_silence_moves_the_others_to_their_even_part() -> None:
    one = customer()
    one.others, one.silent = 4.0, 100.0
    assert one.others_rate(100.0) == 4.0
    assert one.others_rate(110.0) == PLAN.rate / 2


def test_common_rate_keeps_the_even_part() -> None:
    one = customer()
    one.others = 100.0
    for _ in range(20):
        one.fit(100.0)
    assert one.common == PLAN.rate / 2


def test_settled_units_come_back_to_the_store() -> None:
    one = customer()
    one.store = 2.0
    one.settle(-1.5)
    assert one.store == 3.5


def test_a_refusal_asks_the_counter_for_news() -> None:
    at = gateway()
    take(at)
    at.customers["c"].store, at.customers["c"].asked = -5.0, None
    at.take_results(100.0)
    assert take(at, 2, 101.0).closed
    assert [row[0] for row in at.take_results(101.0).adds] == [at.customers["c"].name]


def test_refused_add_is_told_again_and_slows_the_pace() -> None:
    at = gateway()
    take(at)
    one, pace = at.customers["c"], at.pace
    one.asked, one.untold = 3.0, 0.0
    at.counted(100.0, one.name, "full", 0.0, 0.01)
    assert one.untold == 3.0 and at.pace < pace


def test_customers_seen_once_are_forgotten() -> None:
    at = gateway()
    for number in range(50):
        take(at, number, key=f"once-{number}").left(100.0)
    for one in at.customers.values():
        one.out, one.asked = 0, None
    at.wake(200.0)
    assert not at.customers and not at.names


def test_a_saturated_server_limits_but_not_its_customers_elsewhere() -> None:
    at = gateway(plan=replace(PLAN, beyond_gain=0.2, beyond_cost=0.0))
    take(at)
    server = at.servers["s1"]
    server.ratio = 8.0
    at._limit(100.0)
    assert at.customers["c"].limiting < float("inf")
    server.ratio, server.cost = 1.0, {"c": 1.0}
    at._limit(100.0)
    assert at.customers["c"].limiting == float("inf")
