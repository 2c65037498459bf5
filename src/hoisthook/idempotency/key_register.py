"""Register of the idempotency keys that one node incarnation has issued."""

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
    """State of the request of a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A backend server's complete answer, kept for repeats."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    ran_by: str

    @property
    def size(self) -> int:
        """Return the approximate size of the answer in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(slots=True)
class KeyRecord:
    """A key whose request has been executed or may be."""

    text: str
    fingerprint: bytes
    expires: float
    state: KeyState = KeyState.RUNNING
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request may be executed now, once."""

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Replayed:
    """The request has been executed before, with this answer."""

    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class Denied:
    """The request must not be executed now."""

    code: ResultCode


Claim = Claimed | Replayed | Denied


class KeyRegister:
    """Lets the request of each issued key be executed at most once.

    The first execution for a key can start only within the key's lifetime, which is
    counted from its issue on this incarnation's own clock. A record can therefore be
    dropped at the end of the lifetime: the key is then rejected as expired. This needs
    no lease, no other node and no log record. If the node is replaced, its records are
    lost, and no other node ever accepts keys of its incarnation.

    Parameters
    ----------
    node : NodeId
        This node.
    incarnation : Incarnation
        Incarnation of this process; never reused.
    clock : Clock
        Monotonic.
    randomness : Randomness
        Source of nonces.
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
        self._records_with_answer: deque[KeyRecord] = deque()

    def __len__(self) -> int:
        return len(self._record_by_key)

    @property
    def answers_bytes(self) -> int:
        """Return the total size of the kept answers in bytes."""
        return self._answers_bytes

    def issue(self, service: ServiceName) -> str:
        """Issue and return a new key for a request to ``service``."""
        self._issued += 1
        issued_ms = int((self._clock.now() - self._start) * 1000)
        nonce = f"{self._issued:x}x{self._randomness.getrandbits(32):08x}"
        unsigned = Key(self._node, self._incarnation, service, issued_ms, nonce, "")
        signature = unsigned.sign(self._secret)
        return Key(self._node, self._incarnation, service, issued_ms, nonce, signature).text

    def was_issued_here(self, key: Key) -> bool:
        """Return whether the key names this incarnation as its issuer; does not verify it."""
        return key.node == self._node and key.incarnation == self._incarnation

    def claim(self, key: Key, service: ServiceName, fingerprint: bytes) -> Claim:
        """Decide whether a request with ``key`` is executed, answered again or denied.

        Parameters
        ----------
        key : Key
            Parsed key that names this incarnation as its issuer.
        service : ServiceName
            The service that the request names.
        fingerprint : bytes
            Digest of the method, the target and the start of the body; equal for a repeat.
        """
        if key.service != service or not key.is_signed_by(self._secret):
            return Denied(ResultCode.KEY_MALFORMED)
        now = self._clock.now()
        record = self._record_by_key.get(key.text)
        if record is not None:
            return self._claim_repeat(record, fingerprint)
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
        """Record that the request was executed; ``answer`` is None if too large to keep."""
        record.state = KeyState.ANSWERED
        if answer is None or answer.size > MAX_ANSWER_BYTES:
            return
        record.answer = answer
        self._answers_bytes += answer.size
        self._records_with_answer.append(record)
        while self._answers_bytes > self._max_answers_bytes:
            self._drop_answer(self._records_with_answer.popleft())

    def not_run(self, record: KeyRecord) -> None:
        """Record that the request was certainly not executed, so that a repeat may be."""
        self._record_by_key.pop(record.text, None)

    def lost(self, record: KeyRecord) -> None:
        """Record that it is unknown whether the request was executed; repeats are denied."""
        record.state = KeyState.UNKNOWN

    def expire(self) -> None:
        """Drop records of expired keys, unless their requests are still running."""
        now = self._clock.now()
        expired = [
            record
            for record in self._record_by_key.values()
            if record.expires <= now and record.state is not KeyState.RUNNING
        ]
        for record in expired:
            del self._record_by_key[record.text]
            self._drop_answer(record)
        if expired:
            self._records_with_answer = deque(
                r for r in self._records_with_answer if r.answer is not None
            )

    def _claim_repeat(self, record: KeyRecord, fingerprint: bytes) -> Claim:
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
