from __future__ import annotations

from hoisthook.teams.key_lease import MARGIN_SECONDS
from hoisthook.teams.key_lease import KeyLease


def test_keys_are_accepted_until_the_lease_ends() -> None:
    lease = KeyLease(5.0)
    assert not lease.holds(0.0)
    lease.confirmed(10.0)
    assert lease.holds(14.9 - MARGIN_SECONDS)
    assert not lease.holds(15.0 - MARGIN_SECONDS)
    lease.confirmed(12.0)
    lease.confirmed(11.0)
    assert lease.age(13.0) == 1.0
    assert lease.holds(16.9 - MARGIN_SECONDS)


def test_without_a_limit_keys_are_always_accepted() -> None:
    lease = KeyLease(0.0)
    assert lease.holds(1e9)
    assert lease.age(1.0) is None
    assert lease.longest_wait > 1e9
