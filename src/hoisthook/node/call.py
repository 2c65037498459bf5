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
    """One request, parsed and checked.

    Attributes
    ----------
    request_id : RequestId
        For logs; handed down.
    spec : ServiceSpec
        The service's limits.
    caller : CallerId
        Whose share it counts against.
    method, target : bytes
        As the caller sent them.
    headers : list of Header
        End to end, without hoisthook's own.
    body : bytes
        What is there of the body; all of it if ``rest`` is None.
    rest : BodyStream or None
        What follows, readable once.
    received : float
        When the node took it up, on the node's clock.
    deadline : float
        When its answer is of no use any more.
    repeatable : bool
        Whether the service says that it may run more than once.
    under_hedge : bool
        Whether it comes from a hedge further up, and so is not hedged again.
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
        """Return whether all of the body is here."""
        return self.rest is None

    @property
    def work(self) -> WorkId:
        """Return what it asks for; the same whenever and under whatever id it comes."""
        return identify(self.method, self.headers, self.target, self.body)


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run at that backend server.

    Attributes
    ----------
    code : ResultCode
        Why.
    retry_after : float
        Seconds after which to come back.
    """

    code: ResultCode
    retry_after: float


@dataclass(frozen=True, slots=True)
class Lost:
    """Whether the request was run cannot be known.

    Attributes
    ----------
    code : ResultCode
        What happened.
    admitted : bool
        Whether the node beside the backend server may have begun to run it: false where that
        node was silent, or its connection broke, before it had said that it does. It can have
        run only if that word was on its way.
    is_silent : bool
        Whether that node was silent on a connection that held, so that it may still begin to run
        it: it may have been paused, or the request be on its way.
    """

    code: ResultCode
    admitted: bool = True
    is_silent: bool = False
