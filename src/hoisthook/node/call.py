"""A caller's request on its way through a node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoisthook.retry.work_identity import identify

if TYPE_CHECKING:
    from hoisthook.adapter.http.body_stream import BodyStream
    from hoisthook.adapter.http.message import Header
    from hoisthook.configuration.service_spec import ServiceSpec
    from hoisthook.identity import CallerId
    from hoisthook.identity import RequestId
    from hoisthook.identity import WorkId
    from hoisthook.result_code import ResultCode

MAX_BUFFERED_BODY_BYTES = 64 * 1024


@dataclass(slots=True)
class Call:
    """One request, parsed and validated.

    Attributes
    ----------
    request_id : RequestId
        For logs; forwarded with each attempt.
    spec : ServiceSpec
        The service's limits.
    caller : CallerId
        Whose share of the slots it counts against.
    method, target : bytes
        As the caller sent them.
    headers : list of Header
        End-to-end headers, without hoisthook's own.
    body : bytes
        The buffered part of the body; all of it if ``rest`` is None.
    rest : BodyStream or None
        The remainder of the body, which can be read only once.
    received : float
        When the node received it, in seconds on the node's clock.
    deadline : float
        When the call expires, in seconds on the node's clock.
    repeatable : bool
        Whether the service's configuration allows it to run more than once.
    under_hedge : bool
        Whether a hedge of a parent request caused it; it is not hedged again then.
    """

    request_id: RequestId
    spec: ServiceSpec
    caller: CallerId
    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    rest: BodyStream | None
    received: float
    deadline: float
    repeatable: bool
    under_hedge: bool = False

    @property
    def replayable(self) -> bool:
        """Return whether the body can still be sent from its beginning."""
        return self.rest is None

    @property
    def is_complete(self) -> bool:
        """Return whether the body is buffered completely."""
        return self.rest is None

    @property
    def work(self) -> WorkId:
        """Return the id of its work, which does not depend on the request id or the time."""
        return identify(self.method, self.headers, self.target, self.body)


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run at that backend server.

    Attributes
    ----------
    code : ResultCode
        The reason.
    retry_after : float
        Seconds to wait before a retry.
    """

    code: ResultCode
    retry_after: float


@dataclass(frozen=True, slots=True)
class Lost:
    """It cannot be known whether the request was run.

    Attributes
    ----------
    code : ResultCode
        What happened.
    admitted : bool
        Whether the target node may have admitted it: false where that node stayed unresponsive,
        or its connection broke, before it had confirmed the admission. The request can then
        have run only if the confirmation was still in transit.
    is_silent : bool
        Whether the target node was unresponsive on an open connection, so that it may still
        begin to run the request: the node may be paused, or the request in transit.
    """

    code: ResultCode
    admitted: bool = True
    is_silent: bool = False
