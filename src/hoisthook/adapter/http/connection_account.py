"""What a connection of a caller holds of the memory of its node."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hoisthook.adapter.http.byte_budget import ByteBudget
    from hoisthook.adapter.http.byte_budget import Grant
    from hoisthook.adapter.http.server_exchange import ServerExchange

# Memory that is counted besides the bytes received, so that many small things are no way around
# the budget: of a connection, of a request, and of each of its headers.
CONNECTION_BYTES = 8 * 1024
REQUEST_BYTES = 4 * 1024
HEADER_BYTES = 200


class AccountOwner(Protocol):
    """The connection."""

    @property
    def is_releasable(self) -> bool:
        """Return whether it holds what nobody works on yet or any more."""

    def release_memory(self) -> None:
        """Give that up."""


class ConnectionAccount:
    """Counts requests until their exchange ends, and answers until the caller has taken them.

    Parameters
    ----------
    owner : AccountOwner
        Asked to give up memory when the budget is full.
    budget : ByteBudget
        Budget of the node.

    Attributes
    ----------
    held : int
        Bytes of the budget that are assigned to the connection; changed by the budget only.
    received_at : float
        When it last received something, on the loop's clock.
    incoming : int
        Of these bytes, those of the request that is being received.
    """

    def __init__(self, owner: AccountOwner, budget: ByteBudget) -> None:
        self._owner = owner
        self._budget = budget
        self._clock = asyncio.get_running_loop().time
        self._unsent = 0
        self._being_freed = 0
        self.held = 0
        self.received_at = self._clock()
        self.incoming = 0

    @property
    def is_releasable(self) -> bool:
        """Return whether the connection holds what nobody works on yet or any more."""
        return self._owner.is_releasable

    def release_memory(self) -> None:
        """Have the connection give that up."""
        self._owner.release_memory()

    def open(self) -> Grant:
        """Count the connection itself."""
        self._budget.add(self)
        return self._budget.hold(self, CONNECTION_BYTES)

    def close(self) -> None:
        """Give back everything."""
        self._budget.remove(self)
        self._finish_freeing()

    def receive(self, size: int) -> Grant:
        """Count bytes that have been received."""
        self.received_at = self._clock()
        return self._budget.hold(self, size)

    def drop(self, size: int) -> None:
        """Give back bytes that are not going to be parsed."""
        self._budget.give_back(self, size)

    def parse(self, size: int) -> None:
        """Assign received bytes to the request that is being received."""
        self.incoming += size

    def head_completed(self, exchange: ServerExchange) -> None:
        """Count a request besides its bytes."""
        exchange.held = REQUEST_BYTES + HEADER_BYTES * len(exchange.head.headers)
        self._budget.hold_anyway(self, exchange.held)

    def request_completed(self, exchange: ServerExchange) -> None:
        """Assign what has been received to an exchange, unless it has ended already."""
        if exchange.ended:
            self._budget.give_back(self, self.incoming)
        else:
            exchange.held += self.incoming
        self.incoming = 0

    def exchange_ended(self, exchange: ServerExchange) -> None:
        """Give back the bytes of a request."""
        self._budget.give_back(self, exchange.held)
        exchange.held = 0
        if self._being_freed:
            self._finish_freeing()

    def give_up_incoming(self, exchange: ServerExchange | None) -> None:
        """Give back an incomplete request, with an exchange when the handler has ended."""
        if exchange is None:
            self._budget.give_back(self, self.incoming)
        else:
            size = exchange.held + self.incoming
            self._being_freed += size
            self._budget.give_back_later(self, size)
            exchange.held = 0
        self.incoming = 0

    def give_up_all(self) -> None:
        """Give back everything that the connection holds, as it is aborted."""
        self._budget.give_back(self, self.held)

    def write(self, size: int) -> None:
        """Count bytes that the caller has not taken."""
        self._unsent += size
        self._budget.hold_anyway(self, size)

    def flushed(self) -> None:
        """Give back the bytes that the caller has taken."""
        self._budget.give_back(self, self._unsent)
        self._unsent = 0

    @contextlib.contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count an answer that is being sent."""
        self._budget.hold_anyway(self, size)
        try:
            yield
        finally:
            self._budget.give_back(self, size)

    def _finish_freeing(self) -> None:
        self._budget.freed(self._being_freed)
        self._being_freed = 0
