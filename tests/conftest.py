from __future__ import annotations

import random

import pytest
from hypothesis import HealthCheck
from hypothesis import settings

from tests.fakes import FakeClock
from tests.fakes import FakeLog

settings.register_profile(
    "hoisthook",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=80,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("hoisthook")


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def randomness() -> random.Random:
    return random.Random(7)


@pytest.fixture
def log() -> FakeLog:
    return FakeLog()
