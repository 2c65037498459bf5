from __future__ import annotations

from hoisthook.identity import ServiceName
from hoisthook.routing.admission_rate import MIN_SHARE
from hoisthook.routing.admission_rate import AdmissionRate

SHOP = ServiceName("shop")
BANK = ServiceName("bank")


def admission_rate(admitted: int, refused: int) -> AdmissionRate:
    seen = AdmissionRate()
    for _ in range(refused):
        seen.note(SHOP, 0.0, is_admitted=False)
    for _ in range(admitted):
        seen.note(SHOP, 0.0, is_admitted=True)
    return seen


def test_service_of_which_nothing_is_known_is_worth_another_try() -> None:
    assert AdmissionRate().is_worth_another(SHOP, 0.0)


def test_single_refusal_ends_nothing() -> None:
    assert admission_rate(0, 1).is_worth_another(SHOP, 0.0)


def test_service_that_refuses_nearly_all_is_not_worth_another_try() -> None:
    seen = admission_rate(1, 39)
    assert not seen.is_worth_another(SHOP, 0.0)
    assert seen.is_worth_another(BANK, 0.0)


def test_service_that_admits_a_share_is_worth_another_try() -> None:
    assert admission_rate(2 * round(40 * MIN_SHARE), 40).is_worth_another(SHOP, 0.0)


def test_refusals_are_forgotten() -> None:
    seen = admission_rate(0, 40)
    assert not seen.is_worth_another(SHOP, 1.0)
    assert seen.is_worth_another(SHOP, 5.0)
