"""Publishes the state of the local backend server to the other nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.membership.member import MemberStatus

if TYPE_CHECKING:
    from hoisthook.adapter.json_log import JsonDecisionLog
    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.membership.gossip import Gossip
    from hoisthook.membership.member_table import MemberTable
    from hoisthook.node.local_backend import LocalBackend
    from hoisthook.port.clock import Clock


class OwnRecord:
    """Keeps the node's own record in the member table up to date and announces its changes.

    Parameters
    ----------
    local_backend : LocalBackend
        The local backend server.
    state : ConfigurationState
        The configured services.
    table : MemberTable
        Holds the record.
    gossip : Gossip
        Announces changes to the other nodes.
    clock : Clock
        Monotonic.
    decisions : JsonDecisionLog
        Receives an event for each change.
    """

    def __init__(
        self,
        local_backend: LocalBackend,
        state: ConfigurationState,
        table: MemberTable,
        gossip: Gossip,
        clock: Clock,
        decisions: JsonDecisionLog,
    ) -> None:
        self._local_backend = local_backend
        self._state = state
        self._table = table
        self._gossip = gossip
        self._clock = clock
        self._decisions = decisions
        self._announcing: set[asyncio.Task[None]] = set()

    def refresh(self) -> None:
        """Update and announce the record if it has changed."""
        local_backend = self._local_backend
        me = self._table.me
        if me.status is MemberStatus.LEFT:
            return
        # Until the service's configuration is known, its limits cannot be enforced.
        takes_work = (
            local_backend.takes_work() and local_backend.service in self._state.service_by_name
        )
        published = (me.backend_server, me.service, me.slots, me.takes_work)
        if published == (
            local_backend.backend_server,
            local_backend.service,
            local_backend.gate.slots,
            takes_work,
        ):
            return
        self._table.update_me(
            self._clock.now(),
            backend_server=local_backend.backend_server,
            service=local_backend.service,
            slots=local_backend.gate.slots,
            takes_work=takes_work,
        )
        self._decisions.event(
            "backend_server",
            backend_server=local_backend.backend_server,
            service=local_backend.service,
            phase=local_backend.state.phase.value,
            takes_work=takes_work,
        )
        task = asyncio.get_running_loop().create_task(self._gossip.announce())
        self._announcing.add(task)
        task.add_done_callback(self._announcing.discard)

    def close(self) -> None:
        """Cancel the announcements in progress."""
        for task in self._announcing:
            task.cancel()
