"""Readers of a data centre tell each other what they have heard."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.mesh.store_readers import StoreReaders
    from hoisthook.port.clock import Randomness

# As often as the other nodes ask a reader, so that what one reader has heard is known to all
# nodes of the data centre after two questions.
EXCHANGE_SECONDS = 0.6


class ReaderExchange:
    """Asks another reader of the data centre now and then, while this node is one.

    Without it a suspicion needs two nodes that happen to ask the same reader, and in a data
    centre of four nodes with two readers the readers' own findings never meet.

    Parameters
    ----------
    readers : StoreReaders
        Tells who they are.
    sync : PeerSync
        Asks.
    randomness : Randomness
        Chooses among them.
    """

    def __init__(self, readers: StoreReaders, sync: PeerSync, randomness: Randomness) -> None:
        self._readers = readers
        self._sync = sync
        self._randomness = randomness

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(EXCHANGE_SECONDS * (0.75 + 0.5 * self._randomness.random()))
            others = self._readers.others_of_mine()
            if others:
                view = others[self._randomness.randrange(len(others))]
                await self._sync.ask(view.address, wants_news=True)
