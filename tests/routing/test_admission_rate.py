from __future__ import annotations

from hoisthook.identity import ServiceName
from hoisthook.routing.admission_rate import MIN_SHARE
from hoisthook.routing.admission_rate import AdmissionRate

SHOP = ServiceName("shop")
BANK = ServiceName("bank")


def admission_rate(admitted: int, rejected: int) -> AdmissionRate:
    rate = AdmissionRate()
    for _ in range(rejected):
        rate.note(SHOP, 0.0, is_admitted=False)
    for _ in range(admitted):
        rate.note(SHOP, 0.0, is_admitted=True)
    return rate


def test_unknown_service_is_worth_another_attempt() -> None:
    assert AdmissionRate().is_worth_another(SHOP, 0.0)


def test_single_rejection_does_not_stop_attempts() -> None:
    assert admission_rate(0, 1).is_worth_another(SHOP, 0.0)


def test_service_that_rejects_nearly_all_is_not_worth_another_attempt() -> None:
    rate = admission_rate(1, 39)
    assert not rate.is_worth_another(SHOP, 0.0)
    assert rate.is_worth_another(BANK, 0.0)


def test_service_that_admits_a_share_is_worth_another_attempt() -> None:
    assert admission_rate(2 * round(40 * MIN_SHARE), 40).is_worth_another(SHOP, 0.0)


def test_rejections_are_forgotten() -> None:
    rate = admission_rate(0, 40)
    assert not rate.is_worth_another(SHOP, 1.0)
    assert rate.is_worth_another(SHOP, 5.0)
