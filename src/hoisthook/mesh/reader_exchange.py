"""Periodic polls among the readers of a data centre."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.mesh.reader_polls import MIN_POLL_INTERVAL_SECONDS

if TYPE_CHECKING:
    from hoisthook.mesh.peer_sync import PeerSync
    from hoisthook.mesh.store_readers import StoreReaders
    from hoisthook.port.clock import Randomness

# Equal to the polling interval of the other nodes, so that a change that one reader has received
# reaches all nodes of the data centre within two polls. A poll is held for as long, and answered at
# once when the other reader has verified its configuration, so that one of them does it for both.
EXCHANGE_SECONDS = 0.6


class ReaderExchange:
    """Polls another reader of the data centre periodically, while this node is a reader.

    Without it, a suspicion needs two nodes that happen to poll the same reader, and in a data
    centre of four nodes with two readers, the readers' own reachability reports are never combined.

    Parameters
    ----------
    readers : StoreReaders
        Selects the readers.
    sync : PeerSync
        Sends the polls.
    randomness : Randomness
        Selects the reader to poll and spreads the polls over time.
    """

    def __init__(self, readers: StoreReaders, sync: PeerSync, randomness: Randomness) -> None:
        self._readers = readers
        self._sync = sync
        self._randomness = randomness

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            hold = EXCHANGE_SECONDS * (0.75 + 0.5 * self._randomness.random())
            others = self._readers.other_local_readers()
            reply = None
            if others:
                view = others[self._randomness.randrange(len(others))]
                reply = await self._sync.poll(view.address, wants_news=True, hold=hold)
            await asyncio.sleep(hold if reply is None else MIN_POLL_INTERVAL_SECONDS)
