"""Another node, and what this node believes of its load."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from hoisthook.identity import Address
from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.identity import parse_address

if TYPE_CHECKING:
    from hoisthook.mesh.node_load import NodeLoad

# How fast a load report loses its value: load shifts every few hundred milliseconds.
REPORT_LIFE_SECONDS = 0.3
# How fast a report of failures loses its value. Who is not chosen for them is not heard from
# again, so without it a backend server is left alone for good: the calls under a service failed
# for 8 s, and 88 % of its requests still went to other data centres 8 s after that had ended,
# the last known reports of the near ones being from that time.
FAILING_LIFE_SECONDS = 3.0
# What is assumed where no report holds any more.
USUAL_SLOWDOWN = 1.5
USUAL_LOAD_SHARE = 0.3
# What this node has heard itself within this time counts for more than what others found: their
# findings are up to two questions old.
FRESHER_THAN_HEARSAY_SECONDS = 1.5
# For how long a node that was silent is sent nothing whole that it has not asked for.
DOUBT_SECONDS = 10.0
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 4.0


class Peer(msgspec.Struct, frozen=True):
    """A node as it registers itself.

    Attributes
    ----------
    node : NodeId
        Its id.
    address : str
        Where other nodes reach it, ``host:port``.
    service : ServiceName
        What the backend server beside it serves.
    data_centre : DataCentre
        Where it stands.
    link_mbps : float
        How much its link carries, in megabits a second; 0 if it does not say.
    """

    node: NodeId
    address: str
    service: ServiceName
    data_centre: DataCentre
    link_mbps: float = 0.0


class PeerView:
    """A peer with its last load report and what this node has under way there.

    A peer that could not be reached is suspected: requests go to others until a connection
    that no request waits for has been opened to it. With instances that are gone for good, each
    request that tried one waited 100 ms for its connection: 760 of 2,500 in 20 s at 33 nodes.

    Parameters
    ----------
    peer : Peer
        Who.
    is_self : bool
        Whether it is this node.
    same_data_centre : bool
        Whether it stands in this node's data centre.
    """

    def __init__(self, peer: Peer, *, is_self: bool, same_data_centre: bool) -> None:
        self.peer = peer
        self.is_self = is_self
        self.same_data_centre = same_data_centre
        self.address: Address = parse_address(peer.address)
        self.in_flight = 0
        self.closed_until = -math.inf
        # Its budget of repeats is spent; first tries go there as ever.
        self.no_repeats_until = -math.inf
        # Only what befell the node itself; it answers questions whatever is beside it.
        self.away_until = -math.inf
        self.suspected = False
        self.load: NodeLoad | None = None
        self.load_at = -math.inf
        self._sent_since = 0
        self._silent_at = -math.inf
        self._away_seconds = 0.0
        self._backoff = FIRST_BACKOFF_SECONDS

    def sent(self) -> None:
        """Note a request sent there."""
        self.in_flight += 1
        self._sent_since += 1

    def ended(self) -> None:
        """Note that a request sent there is over."""
        self.in_flight -= 1

    def reported(self, load: NodeLoad, now: float) -> None:
        """Take in a load report; the peer can be reached."""
        self.load = load
        self.load_at = now
        self._sent_since = 0
        self._backoff = FIRST_BACKOFF_SECONDS
        self.suspected = False

    def connected(self) -> None:
        """Note that the peer takes connections; only a report resets the backoff."""
        self.suspected = False

    def others_suspect(self, now: float) -> None:
        """Suspect the peer on the word of others, unless it has just reported."""
        if self.age(now) > FRESHER_THAN_HEARSAY_SECONDS:
            self.suspected = True
            self._silent_at = now

    def unreachable(self, now: float) -> float:
        """Suspect the peer, to be probed after a while that doubles; return the seconds."""
        self.suspected = True
        seconds = self._backoff
        self.closed_until = now + seconds
        self.away_until = self.closed_until
        self._backoff = min(MAX_BACKOFF_SECONDS, seconds * 2)
        return seconds

    def backend_server_away(self, seconds: float, now: float) -> None:
        """Leave the peer alone, each time twice as long, until it serves a request again.

        After a restart of all 46 of 233 nodes had no backend server any more; asked every
        0.3 s, they turned away 1,324 of 14,000 tries in 5 s.
        """
        seconds = max(seconds, self._away_seconds)
        self.close_until(now + seconds)
        self._away_seconds = min(MAX_BACKOFF_SECONDS, seconds * 2)

    def silent(self, now: float) -> None:
        """Note that the peer did not say whether it runs a request."""
        self._silent_at = now

    def may_be_silent(self, now: float) -> bool:
        """Return whether what is sent there had better be held back until the peer asks for it.

        Load pattern: nodes pause in series, or packets get lost. What was given up at a silent
        node may arrive there when another has run it already. A node that was silent is likely
        to be so again; what it has not asked for never arrives, and may go elsewhere for nothing.
        The price is one more way there and back.
        """
        return now - self._silent_at < DOUBT_SECONDS

    def served(self) -> None:
        """Note that the peer's backend server answered a request."""
        self._away_seconds = 0.0

    def close_until(self, moment: float) -> None:
        """Send nothing there before ``moment`` unless nothing else is left."""
        self.closed_until = max(self.closed_until, moment)

    def age(self, now: float) -> float:
        """Return the seconds since the last report."""
        return now - self.load_at

    def expected_slowdown(self, now: float) -> float:
        """Return the slowdown to expect; an old report fades towards the usual."""
        if self.load is None:
            return USUAL_SLOWDOWN
        weight = math.exp(-self.age(now) / REPORT_LIFE_SECONDS)
        return weight * self.load.slowdown + (1.0 - weight) * USUAL_SLOWDOWN

    def expected_failing(self, now: float) -> float:
        """Return the share of failed answers to expect; an old report fades to none."""
        if self.load is None:
            return 0.0
        return math.exp(-self.age(now) / FAILING_LIFE_SECONDS) * self.load.failing

    def expected_load_share(self, now: float) -> float:
        """Return the share of its slots to expect in use."""
        if self.load is None:
            return USUAL_LOAD_SHARE
        weight = math.exp(-self.age(now) / REPORT_LIFE_SECONDS)
        limit = max(1, self.load.limit)
        reported = (self.load.running + self.load.waiting + self._sent_since) / limit
        usual = max(USUAL_LOAD_SHARE, self.in_flight / limit)
        return weight * reported + (1.0 - weight) * usual
