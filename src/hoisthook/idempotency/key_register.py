"""What one node incarnation remembers of the keys it issued."""

from __future__ import annotations

import secrets
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from hoisthook.idempotency.key import Key
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.identity import Incarnation
    from hoisthook.identity import NodeId
    from hoisthook.identity import ServiceName
    from hoisthook.port.clock import Clock
    from hoisthook.port.clock import Randomness

KEY_TTL_SECONDS = 600.0
MAX_RECORDS = 50_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_ANSWERS_BYTES = 16 * 1024 * 1024
SECRET_BYTES = 32


class KeyState(Enum):
    """What became of a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A backend server's whole answer, kept for repeats."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    ran_by: str

    @property
    def size(self) -> int:
        """Return about how many bytes it holds."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(slots=True)
class KeyRecord:
    """One key in use."""

    text: str
    fingerprint: bytes
    expires: float
    state: KeyState = KeyState.RUNNING
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class Claimed:
    """The key's request may run now, once."""

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Replayed:
    """The request ran before; this is its answer."""

    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class Denied:
    """The request does not run now."""

    code: ResultCode


Claim = Claimed | Replayed | Denied


class KeyRegister:
    """Lets each issued key's request run at most once.

    A key's first run can start only within its lifetime, counted from its issue
    on this incarnation's own clock, so a record can be dropped when the lifetime
    is over: the key is then refused for its age. No lease, no other node and no
    log record is involved; a node that is replaced takes its memory with it, and
    its keys name an incarnation that no one else will ever speak for.

    Parameters
    ----------
    node : NodeId
        This node.
    incarnation : Incarnation
        This process; never the same twice.
    clock : Clock
        Monotonic.
    randomness : Randomness
        For nonces.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        clock: Clock,
        randomness: Randomness,
        *,
        ttl: float = KEY_TTL_SECONDS,
        max_records: int = MAX_RECORDS,
        max_answers_bytes: int = MAX_ANSWERS_BYTES,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._clock = clock
        self._randomness = randomness
        self._ttl = ttl
        self._max_records = max_records
        self._max_answers_bytes = max_answers_bytes
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._start = clock.now()
        self._issued = 0
        self._answers_bytes = 0
        self._record_by_key: dict[str, KeyRecord] = {}
        self._with_answer: deque[KeyRecord] = deque()

    def __len__(self) -> int:
        return len(self._record_by_key)

    @property
    def answers_bytes(self) -> int:
        """Return how many bytes the kept answers hold."""
        return self._answers_bytes

    def issue(self, service: ServiceName) -> str:
        """Return a new key for a request to ``service``."""
        self._issued += 1
        issued_ms = int((self._clock.now() - self._start) * 1000)
        nonce = f"{self._issued:x}x{self._randomness.getrandbits(32):08x}"
        unsigned = Key(self._node, self._incarnation, service, issued_ms, nonce, "")
        signature = unsigned.sign(self._secret)
        return Key(self._node, self._incarnation, service, issued_ms, nonce, signature).text

    def is_mine(self, key: Key) -> bool:
        """Return whether this very incarnation issued the key."""
        return key.node == self._node and key.incarnation == self._incarnation

    def claim(self, key: Key, service: ServiceName, fingerprint: bytes) -> Claim:
        """Decide what a request with ``key`` gets.

        Parameters
        ----------
        key : Key
            Parsed; issued by this incarnation.
        service : ServiceName
            The service that the request names.
        fingerprint : bytes
            A digest of method, target and body's beginning; a repeat has the same.
        """
        if key.service != service or not key.is_signed_by(self._secret):
            return Denied(ResultCode.KEY_MALFORMED)
        now = self._clock.now()
        record = self._record_by_key.get(key.text)
        if record is not None:
            return self._repeat(record, fingerprint)
        if now >= self._expiry(key):
            return Denied(ResultCode.KEY_EXPIRED)
        if len(self._record_by_key) >= self._max_records:
            self.expire()
            if len(self._record_by_key) >= self._max_records:
                return Denied(ResultCode.KEYS_FULL)
        record = KeyRecord(key.text, fingerprint, self._expiry(key))
        self._record_by_key[key.text] = record
        return Claimed(record)

    def answered(self, record: KeyRecord, answer: KeptAnswer | None) -> None:
        """Note that the request ran; ``answer`` is None if too large to keep."""
        record.state = KeyState.ANSWERED
        if answer is None or answer.size > MAX_ANSWER_BYTES:
            return
        record.answer = answer
        self._answers_bytes += answer.size
        self._with_answer.append(record)
        while self._answers_bytes > self._max_answers_bytes:
            self._drop_answer(self._with_answer.popleft())

    def not_run(self, record: KeyRecord) -> None:
        """Note that the request truly did not run, so that a repeat may."""
        self._record_by_key.pop(record.text, None)

    def lost(self, record: KeyRecord) -> None:
        """Note that it cannot be known whether the request ran; no repeat will."""
        record.state = KeyState.UNKNOWN

    def expire(self) -> None:
        """Drop records of keys whose lifetime is over, unless still running."""
        now = self._clock.now()
        old = [
            record
            for record in self._record_by_key.values()
            if record.expires <= now and record.state is not KeyState.RUNNING
        ]
        for record in old:
            del self._record_by_key[record.text]
            self._drop_answer(record)
        if old:
            self._with_answer = deque(r for r in self._with_answer if r.answer is not None)

    def _repeat(self, record: KeyRecord, fingerprint: bytes) -> Claim:
        if record.fingerprint != fingerprint:
            return Denied(ResultCode.KEY_MISUSED)
        if record.state is KeyState.RUNNING:
            return Denied(ResultCode.KEY_IN_PROGRESS)
        if record.state is KeyState.UNKNOWN:
            return Denied(ResultCode.OUTCOME_UNKNOWN)
        if record.answer is None:
            return Denied(ResultCode.ANSWER_NOT_KEPT)
        return Replayed(record.answer)

    def _expiry(self, key: Key) -> float:
        return self._start + key.issued_ms / 1000.0 + self._ttl

    def _drop_answer(self, record: KeyRecord) -> None:
        if record.answer is not None:
            self._answers_bytes -= record.answer.size
            record.answer = None
