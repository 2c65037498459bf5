"""Accepts callers' requests, routes them and sends the responses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.adapter.http.byte_budget import MEMORY_RETRY_SECONDS
from hoisthook.exceptions import BodyTooLargeError
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import MemoryFullError
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import Ran
from hoisthook.result_code import ResultCode
from hoisthook.teams.quota_verdict import OverQuota
from hoisthook.teams.team import rank_of
from hoisthook.teams.team_table import logged_digest
from hoisthook.traffic.route_part_selector import RoutePartSelector

if TYPE_CHECKING:
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.admission.running_requests import RunningRequests
    from hoisthook.identity import ServiceName
    from hoisthook.mesh.routed_dispatcher import RoutedDispatcher
    from hoisthook.port.caller_wire import CallerRequest
    from hoisthook.port.caller_wire import CallerWire
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.routing.link_pacer import LinkPacer
    from hoisthook.teams.key_lease import KeyLease
    from hoisthook.teams.quota_verdict import Token
    from hoisthook.teams.team import Team
    from hoisthook.traffic.configuration_age import ConfigurationAge
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.route import Route
    from hoisthook.traffic.traffic_configuration import TrafficConfiguration


class QuotaGate(Protocol):
    """Admits teams' requests within their quotas."""

    async def admit(self, team: Team, rank: int) -> Token | OverQuota | None:
        """Return the token that a request spends, or a rejection if its team is over quota.

        Returns None if the team has no quota, so that the request is admitted without a token.

        Parameters
        ----------
        team : Team
            Team that the request counts against.
        rank : int
            Rank of the request among those of its team; 0 is the most urgent.
        """

    def not_run(self, team: Team, token: Token) -> None:
        """Return the token of a request that was admitted but not executed."""


# A node usually receives its configuration within about a second of its start.
NO_CONFIGURATION_RETRY_SECONDS = 0.3
# Largest request body that a node buffers if operators set no limit.
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class _AcceptedRequest:
    """A request that has a route and, if teams are configured, has passed the key check."""

    request: CallerRequest
    route: Route
    configuration: TrafficConfiguration
    team: Team | None
    received: float
    # Counts the request towards its team's quota; None if it spends none.
    token: Token | None = None

    @property
    def rank(self) -> int:
        """Return the rank of the request; 0 is the most urgent."""
        if not self.configuration.teams:
            return self.route.priority
        return rank_of(self.team, self.route.priority)


class Ingress:
    """Serves the callers that are connected to this node.

    Parameters
    ----------
    service : ServiceName
        Service of the local backend server, sent along as the callers' service.
    wire : CallerWire
        Decodes callers' requests and encodes refusals.
    configuration : ConfigurationHolder
        Holds the current routes, teams and limits.
    dispatcher : RoutedDispatcher
        Finds a backend server that runs a request.
    running_requests : RunningRequests
        Requests that run at the local backend server; the calls that they make arrive here.
    age : ConfigurationAge
        Age of the configuration, logged with each request.
    lease : KeyLease
        Decides whether team keys may still be accepted.
    quotas : QuotaGate
        Rejects requests of teams that are over their quota.
    link_pacer : LinkPacer
        Spaces out the pieces of large answers.
    clock : Clock
        Monotonic clock of the event loop.
    log : EventLog
        Receives one entry per request.
    """

    def __init__(
        self,
        service: ServiceName,
        wire: CallerWire,
        configuration: ConfigurationHolder,
        dispatcher: RoutedDispatcher,
        running_requests: RunningRequests,
        age: ConfigurationAge,
        lease: KeyLease,
        quotas: QuotaGate,
        link_pacer: LinkPacer,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._service = service
        self._wire = wire
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._running_requests = running_requests
        self._age = age
        self._lease = lease
        self._quotas = quotas
        self._link_pacer = link_pacer
        self._clock = clock
        self._log = log
        self._parts = RoutePartSelector()

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one request of a caller."""
        # The deadline counts from the arrival of a request: a pipelined one may have waited for the
        # request before it on the same connection.
        received = exchange.arrived
        request = self._wire.decode(exchange.head)
        if isinstance(request, ResultCode):
            self._refuse(exchange, Refused(request, 0.0))
            return
        configuration = self._configuration.current
        if configuration is None:
            refused = Refused(ResultCode.CONFIGURATION_MISSING, NO_CONFIGURATION_RETRY_SECONDS)
            self._finish(exchange, request, refused, received)
            return
        route = configuration.table.match(request.host, request.path)
        if route is None:
            refused = Refused(ResultCode.ROUTE_UNKNOWN, 0.0)
            self._finish(exchange, request, refused, received, configuration=configuration.version)
            return
        teams = configuration.teams
        team = teams.holder(request.key)
        if teams and team is None and not route.public:
            self._refuse_unknown_key(exchange, request, route, received)
            return
        if team is not None and not self._lease.holds(self._clock.now()):
            refused = Refused(ResultCode.TEAM_KEYS_UNCONFIRMED, NO_CONFIGURATION_RETRY_SECONDS)
            self._finish(exchange, request, refused, received, route=route.name, team=team.name)
            return
        if not teams:
            request.headers += request.credentials
        accepted = _AcceptedRequest(request, route, configuration, team, received)
        await self._serve(exchange, accepted)

    async def _serve(self, exchange: ServerExchange, accepted: _AcceptedRequest) -> None:
        request = accepted.request
        route = accepted.route
        configuration = accepted.configuration
        received = accepted.received
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        deadline = received + time_left
        if deadline <= self._clock.now():
            self._finish_unserved(exchange, accepted, Refused(ResultCode.DEADLINE_PASSED, 0.0))
            return
        call: RoutedCall | None = None
        sent = False
        try:
            async with asyncio.timeout_at(deadline):
                over_quota = await self._check_quota(accepted)
                if over_quota is not None:
                    self._finish_unserved(exchange, accepted, over_quota)
                    return
                body = await _read_body(exchange, configuration)
                call = self._make_call(exchange, accepted, body, deadline)
                sent = True
                dispatched = await self._dispatcher.dispatch(call)
        except BodyTooLargeError:
            self._finish_unserved(exchange, accepted, Refused(ResultCode.BODY_TOO_LARGE, 0.0))
            return
        except MemoryFullError:
            refused = Refused(ResultCode.NODE_MEMORY_FULL, MEMORY_RETRY_SECONDS)
            self._finish_unserved(exchange, accepted, refused)
            return
        except BrokenExchangeError:
            exchange.abort()
            return
        except TimeoutError:
            lost = Lost(ResultCode.DEADLINE_DURING_RUN)
            outcome = lost if sent else Refused(ResultCode.REQUEST_TIMEOUT, 0.0)
            self._finish_unserved(exchange, accepted, outcome)
            return
        finally:
            # The handler is cancelled if the caller disconnects during the upload.
            if not sent:
                self._return_token(accepted)
        if isinstance(dispatched.outcome, Refused):
            self._return_token(accepted)
        if isinstance(dispatched.outcome, CompleteAnswer):
            answer = dispatched.outcome
            await exchange.respond_paced(
                answer.status, answer.headers, answer.body, self._link_pacer
            )
        self._finish(
            exchange,
            request,
            dispatched.outcome,
            received,
            route=route.name,
            service=call.service,
            team=call.team,
            configuration=configuration.version,
            tries=dispatched.tries,
            ran=dispatched.ran,
            arrived=dispatched.arrived,
            sent_to=dispatched.node,
            made_by=call.parent,
        )

    def _make_call(
        self, exchange: ServerExchange, accepted: _AcceptedRequest, body: bytes, deadline: float
    ) -> RoutedCall:
        request = accepted.request
        route = accepted.route
        rank = accepted.rank
        self._running_requests.arrived(route.name)
        parent = self._running_requests.parent_of(route.name)
        return RoutedCall(
            request_id=request.request_id,
            route=route.name,
            service=self._parts.choose(route),
            caller_service=self._service,
            method=exchange.head.method,
            target=exchange.head.target,
            headers=request.headers,
            body=body,
            received=accepted.received,
            deadline=deadline,
            target_latency=route.target_latency,
            priority=rank if parent is None else min(rank, parent.priority),
            team=None if accepted.team is None else accepted.team.name,
            parent=None if parent is None else parent.request_id,
            repeatable=route.repeatable,
            max_attempts=route.max_attempts,
            idle_observation=self._running_requests.idle_observation(),
            by_repeat=self._running_requests.repeat_probability(route.name),
        )

    def _refuse_unknown_key(
        self, exchange: ServerExchange, request: CallerRequest, route: Route, received: float
    ) -> None:
        """Refuse a request without a key of a known team, before it uses any resources."""
        self._finish(
            exchange,
            request,
            Refused(ResultCode.TEAM_KEY_UNKNOWN, 0.0),
            received,
            route=route.name,
            key=None if request.key is None else logged_digest(request.key),
        )

    async def _check_quota(self, accepted: _AcceptedRequest) -> Refused | None:
        """Refuse a request over its team's quota before it takes a slot, a hop or a queue place."""
        if accepted.team is None:
            return None
        admitted = await self._quotas.admit(accepted.team, accepted.route.priority)
        if isinstance(admitted, OverQuota):
            return Refused(admitted.code, admitted.retry_after)
        accepted.token = admitted
        return None

    def _return_token(self, accepted: _AcceptedRequest) -> None:
        """Return the token of a request that was not executed to its team."""
        if accepted.team is not None and accepted.token is not None:
            self._quotas.not_run(accepted.team, accepted.token)

    def _finish_unserved(
        self, exchange: ServerExchange, accepted: _AcceptedRequest, outcome: Refused | Lost
    ) -> None:
        team = None if accepted.team is None else accepted.team.name
        self._finish(
            exchange,
            accepted.request,
            outcome,
            accepted.received,
            route=accepted.route.name,
            team=team,
        )

    def _finish(
        self,
        exchange: ServerExchange,
        request: CallerRequest,
        outcome: CompleteAnswer | Refused | Lost,
        received: float,
        **fields: object,
    ) -> None:
        code = ResultCode.OK
        if isinstance(outcome, CompleteAnswer):
            # The answer has been sent already.
            fields["status"] = outcome.status
        else:
            code = outcome.code
            self._refuse(exchange, outcome)
        now = self._clock.now()
        age = self._age.seconds(now)
        self._log.decision(
            "answered",
            request=request.request_id,
            code=code.number,
            took_ms=round((now - received) * 1000.0, 1),
            configuration_age=None if age is None else round(age, 2),
            **fields,
        )

    def _refuse(self, exchange: ServerExchange, outcome: Refused | Lost) -> None:
        retry_after = 0.0
        if isinstance(outcome, Refused):
            assert outcome.code.ran is Ran.NOT_RUN
            retry_after = outcome.retry_after
        refusal = self._wire.refusal(outcome.code, retry_after)
        exchange.respond(refusal.status, refusal.headers, refusal.body)


async def _read_body(exchange: ServerExchange, configuration: TrafficConfiguration) -> bytes:
    limits = configuration.limits
    max_bytes = DEFAULT_MAX_BODY_BYTES if limits is None else limits.max_body_bytes
    announced = exchange.head.get(b"content-length") or b""
    if announced.isdigit() and int(announced) > max_bytes:
        raise BodyTooLargeError(f"announced body exceeds the limit of {max_bytes} bytes")
    return await exchange.body.read_all(max_bytes=max_bytes)
