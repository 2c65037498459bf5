from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from hoisthook.idempotency.key import parse_key
from hoisthook.idempotency.key_register import Claim
from hoisthook.idempotency.key_register import Claimed
from hoisthook.idempotency.key_register import Denied
from hoisthook.idempotency.key_register import KeptAnswer
from hoisthook.idempotency.key_register import KeyRecord
from hoisthook.idempotency.key_register import KeyRegister
from hoisthook.idempotency.key_register import Replayed
from hoisthook.result_code import ResultCode
from tests.fakes import FakeClock

ANSWER = KeptAnswer(200, ((b"a", b"b"),), b"body", "b-1")


@pytest.fixture
def register(clock: FakeClock) -> KeyRegister:
    return KeyRegister("n", "i", clock, random.Random(1), ttl=100.0, max_records=3)


def claim(register: KeyRegister, text: str, fingerprint: bytes = b"f") -> Claim:
    key = parse_key(text)
    assert key is not None
    return register.claim(key, "svc", fingerprint)


def claimed(register: KeyRegister, text: str) -> KeyRecord:
    result = claim(register, text)
    assert isinstance(result, Claimed)
    return result.record


def test_repeat_while_the_first_runs_is_denied(register: KeyRegister) -> None:
    key = register.issue("svc")
    claimed(register, key)
    assert claim(register, key) == Denied(ResultCode.KEY_IN_PROGRESS)


def test_repeat_after_the_answer_gets_it_again(register: KeyRegister) -> None:
    key = register.issue("svc")
    register.answered(claimed(register, key), ANSWER)
    assert claim(register, key) == Replayed(ANSWER)


def test_repeat_after_a_lost_answer_never_runs(register: KeyRegister) -> None:
    key = register.issue("svc")
    register.lost(claimed(register, key))
    assert claim(register, key) == Denied(ResultCode.OUTCOME_UNKNOWN)


def test_repeat_after_not_run_runs(register: KeyRegister) -> None:
    key = register.issue("svc")
    register.not_run(claimed(register, key))
    claimed(register, key)


def test_other_request_with_the_same_key_is_denied(register: KeyRegister) -> None:
    key = register.issue("svc")
    claimed(register, key)
    assert claim(register, key, b"other") == Denied(ResultCode.KEY_MISUSED)


def test_key_of_another_incarnation_is_denied(register: KeyRegister, clock: FakeClock) -> None:
    other = KeyRegister("n", "i", clock, random.Random(1))
    assert claim(register, other.issue("svc")) == Denied(ResultCode.KEY_MALFORMED)


def test_expired_key_never_runs(register: KeyRegister, clock: FakeClock) -> None:
    key = register.issue("svc")
    clock.advance(100.1)
    assert claim(register, key) == Denied(ResultCode.KEY_EXPIRED)


def test_records_are_bounded_and_freed_by_age(register: KeyRegister, clock: FakeClock) -> None:
    for _ in range(3):
        register.answered(claimed(register, register.issue("svc")), ANSWER)
    assert claim(register, register.issue("svc")) == Denied(ResultCode.KEYS_FULL)
    clock.advance(100.1)
    claimed(register, register.issue("svc"))
    assert register.answers_bytes == 0


def test_answers_are_bounded_and_the_outcome_is_kept(clock: FakeClock) -> None:
    register = KeyRegister("n", "i", clock, random.Random(1), max_answers_bytes=10)
    first, second = register.issue("svc"), register.issue("svc")
    register.answered(claimed(register, first), ANSWER)
    register.answered(claimed(register, second), ANSWER)
    assert register.answers_bytes <= 10
    assert claim(register, first) == Denied(ResultCode.ANSWER_NOT_KEPT)


class RegisterMachine(RuleBasedStateMachine):
    """The request of a key is executed at most once in any order of sends, outcomes and time."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.register = KeyRegister(
            "n", "i", self.clock, random.Random(1), ttl=10.0, max_records=4, max_answers_bytes=20
        )
        self.keys: list[str] = []
        self.running: dict[str, KeyRecord] = {}
        self.runs_by_key: dict[str, int] = {}

    @rule()
    def issue(self) -> None:
        self.keys.append(self.register.issue("svc"))

    @precondition(lambda self: self.keys)
    @rule(data=st.data())
    def send(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(self.keys))
        result = claim(self.register, key)
        if isinstance(result, Claimed):
            assert key not in self.running
            self.running[key] = result.record

    @precondition(lambda self: self.running)
    @rule(data=st.data(), outcome=st.sampled_from(["answered", "lost, ran", "lost", "not run"]))
    def end(self, data: st.DataObject, outcome: str) -> None:
        key = data.draw(st.sampled_from(sorted(self.running)))
        record = self.running.pop(key)
        if outcome in ("answered", "lost, ran"):
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        if outcome == "answered":
            self.register.answered(record, ANSWER)
        elif outcome == "not run":
            self.register.not_run(record)
        else:
            self.register.lost(record)

    @rule(seconds=st.sampled_from([0.5, 3.0, 11.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.register.expire()

    @invariant()
    def at_most_once(self) -> None:
        assert all(runs <= 1 for runs in self.runs_by_key.values())

    @invariant()
    def bounded(self) -> None:
        assert len(self.register) <= 4
        assert 0 <= self.register.answers_bytes <= 20


TestRegisterMachine = RegisterMachine.TestCase
