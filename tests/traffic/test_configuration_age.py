from __future__ import annotations

from hoisthook.traffic.configuration_age import ConfigurationAge


def test_age_counts_from_the_latest_confirmation() -> None:
    age = ConfigurationAge()
    assert age.seconds(10.0) is None
    age.confirmed(10.0)
    assert age.seconds(12.5) == 2.5


def test_older_confirmation_changes_nothing() -> None:
    age = ConfigurationAge()
    renewals: list[float] = []
    age.on_confirmed(lambda: renewals.append(age.as_of))
    age.confirmed(10.0)
    age.confirmed(9.0)
    assert age.seconds(10.0) == 0.0
    assert renewals == [10.0]
