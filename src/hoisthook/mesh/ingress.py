"""Takes callers' requests, routes them, and answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.exceptions import BrokenExchangeError
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
    from hoisthook.traffic.configuration_holder import ConfigurationHolder
    from hoisthook.traffic.route import Route
    from hoisthook.traffic.traffic_configuration import TrafficConfiguration


class QuotaGate(Protocol):
    """Admits teams' requests within their quotas."""

    async def admit(self, team: Team, rank: int) -> Token | OverQuota | None:
        """Return what admits a request, or why it is not admitted; None where any is.

        Parameters
        ----------
        team : Team
            Who asks.
        rank : int
            Of the request among those of its team; 0 is the most urgent.
        """

    def not_run(self, team: Team, token: Token) -> None:
        """Take in that a request that was admitted has not run."""


# A configuration reaches a node within a second or so of its start.
NO_CONFIGURATION_RETRY_SECONDS = 0.3
# Used where operators set no bound: the largest body that a node holds.
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class _Asked:
    """A request that may be served: what it asks for, who asks, and when that came."""

    request: CallerRequest
    route: Route
    configuration: TrafficConfiguration
    team: Team | None
    received: float
    # By which it is counted towards its team's quota.
    token: Token | None = None

    @property
    def rank(self) -> int:
        """Return its rank; 0 is the most urgent."""
        if not self.configuration.teams:
            return self.route.priority
        return rank_of(self.team, self.route.priority)


class Ingress:
    """The node's side towards callers.

    Parameters
    ----------
    service : ServiceName
        The service beside which these callers are.
    wire : CallerWire
        How they speak.
    configuration : ConfigurationHolder
        The routes.
    dispatcher : RoutedDispatcher
        Runs requests.
    running_requests : RunningRequests
        What runs at the backend server beside, whose calls come here.
    lease : KeyLease
        Whether keys may be taken.
    quotas : QuotaGate
        Whose requests go beyond what their team may ask.
    link_pacer : LinkPacer
        When large answers go out.
    clock : Clock
        Monotonic, the loop's own.
    log : EventLog
        Gets a line for each request.
    """

    def __init__(
        self,
        service: ServiceName,
        wire: CallerWire,
        configuration: ConfigurationHolder,
        dispatcher: RoutedDispatcher,
        running_requests: RunningRequests,
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
        self._lease = lease
        self._quotas = quotas
        self._link_pacer = link_pacer
        self._clock = clock
        self._log = log
        self._parts = RoutePartSelector()

    async def handle(self, exchange: ServerExchange) -> None:
        """Serve one request of a caller."""
        # A request that waited behind another of its connection has less time left.
        received = exchange.arrived
        request = self._wire.decode(exchange.head)
        if isinstance(request, ResultCode):
            self._refuse(exchange, Refused(request, 0.0))
            return
        configuration = self._configuration.current
        if configuration is None:
            refused = Refused(ResultCode.CONFIGURATION_MISSING, NO_CONFIGURATION_RETRY_SECONDS)
            self._conclude(exchange, request, refused, received)
            return
        route = configuration.table.match(request.host, request.path)
        if route is None:
            refused = Refused(ResultCode.ROUTE_UNKNOWN, 0.0)
            self._conclude(
                exchange, request, refused, received, configuration=configuration.version
            )
            return
        teams = configuration.teams
        team = teams.holder(request.key)
        if teams and team is None and not route.public:
            self._turn_away(exchange, request, route, received)
            return
        if team is not None and not self._lease.holds(self._clock.now()):
            refused = Refused(ResultCode.TEAM_KEYS_UNCONFIRMED, NO_CONFIGURATION_RETRY_SECONDS)
            self._conclude(exchange, request, refused, received, route=route.name, team=team.name)
            return
        if not teams:
            request.headers += request.credentials
        asked = _Asked(request, route, configuration, team, received)
        await self._serve(exchange, asked)

    async def _serve(self, exchange: ServerExchange, asked: _Asked) -> None:
        request = asked.request
        route = asked.route
        configuration = asked.configuration
        received = asked.received
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        deadline = received + time_left
        if deadline <= self._clock.now():
            self._conclude_unserved(exchange, asked, Refused(ResultCode.DEADLINE_PASSED, 0.0))
            return
        call: RoutedCall | None = None
        sent = False
        try:
            async with asyncio.timeout_at(deadline):
                over = await self._over_quota(asked)
                if over is not None:
                    self._conclude_unserved(exchange, asked, over)
                    return
                body = await _read_body(exchange, configuration)
                if isinstance(body, Refused):
                    self._conclude_unserved(exchange, asked, body)
                    return
                call = self._call(exchange, asked, body, deadline)
                sent = True
                done = await self._dispatcher.dispatch(call)
        except BrokenExchangeError:
            exchange.abort()
            return
        except TimeoutError:
            if not sent:
                self._not_run(asked)
            late = Lost(ResultCode.DEADLINE_DURING_RUN)
            outcome = late if sent else Refused(ResultCode.REQUEST_TIMEOUT, 0.0)
            self._conclude_unserved(exchange, asked, outcome)
            return
        if isinstance(done.outcome, Refused):
            self._not_run(asked)
        if isinstance(done.outcome, CompleteAnswer):
            answer = done.outcome
            await exchange.respond_paced(
                answer.status, answer.headers, answer.body, self._link_pacer
            )
        self._conclude(
            exchange,
            request,
            done.outcome,
            received,
            route=route.name,
            service=call.service,
            team=call.team,
            configuration=configuration.version,
            tries=done.tries,
            ran=done.ran,
            arrived=done.arrived,
            sent_to=done.node,
            parent=call.parent,
        )

    def _call(
        self, exchange: ServerExchange, asked: _Asked, body: bytes, deadline: float
    ) -> RoutedCall:
        request = asked.request
        route = asked.route
        rank = asked.rank
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
            received=asked.received,
            deadline=deadline,
            target_latency=route.target_latency,
            priority=rank if parent is None else min(rank, parent.priority),
            team=None if asked.team is None else asked.team.name,
            parent=None if parent is None else parent.request_id,
            repeatable=route.repeatable,
            max_attempts=route.max_attempts,
            idle_observation=self._running_requests.idle_observation(),
            by_repeat=self._running_requests.repeat_probability(route.name),
        )

    def _turn_away(
        self, exchange: ServerExchange, request: CallerRequest, route: Route, received: float
    ) -> None:
        """Refuse a request without a key that a team holds, before it costs anybody anything."""
        self._conclude(
            exchange,
            request,
            Refused(ResultCode.TEAM_KEY_UNKNOWN, 0.0),
            received,
            route=route.name,
            key=None if request.key is None else logged_digest(request.key),
        )

    async def _over_quota(self, asked: _Asked) -> Refused | None:
        """Refuse what goes beyond a quota before it costs a slot, a hop or a queue place."""
        if asked.team is None:
            return None
        admitted = await self._quotas.admit(asked.team, asked.route.priority)
        if isinstance(admitted, OverQuota):
            return Refused(admitted.code, admitted.retry_after)
        asked.token = admitted
        return None

    def _not_run(self, asked: _Asked) -> None:
        """Leave what was admitted and refused by all backend servers to its team."""
        if asked.team is not None and asked.token is not None:
            self._quotas.not_run(asked.team, asked.token)

    def _conclude_unserved(
        self, exchange: ServerExchange, asked: _Asked, outcome: Refused | Lost
    ) -> None:
        team = None if asked.team is None else asked.team.name
        self._conclude(
            exchange, asked.request, outcome, asked.received, route=asked.route.name, team=team
        )

    def _conclude(
        self,
        exchange: ServerExchange,
        request: CallerRequest,
        outcome: CompleteAnswer | Refused | Lost,
        received: float,
        **fields: object,
    ) -> None:
        code = ResultCode.OK
        if isinstance(outcome, CompleteAnswer):
            # It has been delivered.
            fields["status"] = outcome.status
        else:
            code = outcome.code
            self._refuse(exchange, outcome)
        self._log.decision(
            "answered",
            request=request.request_id,
            code=code.number,
            took_ms=round((self._clock.now() - received) * 1000.0, 1),
            **fields,
        )

    def _refuse(self, exchange: ServerExchange, outcome: Refused | Lost) -> None:
        retry_after = 0.0
        if isinstance(outcome, Refused):
            assert outcome.code.ran is Ran.NOT_RUN
            retry_after = outcome.retry_after
        refusal = self._wire.refusal(outcome.code, retry_after)
        exchange.respond(refusal.status, refusal.headers, refusal.body)


async def _read_body(
    exchange: ServerExchange, configuration: TrafficConfiguration
) -> bytes | Refused:
    limits = configuration.limits
    bound = DEFAULT_MAX_BODY_BYTES if limits is None else limits.max_body_bytes
    data = b""
    while chunk := await exchange.body.read():
        data += chunk
        if len(data) > bound:
            return Refused(ResultCode.BODY_TOO_LARGE, 0.0)
    return data
