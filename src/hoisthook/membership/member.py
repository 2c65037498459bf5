"""Member records and the gossip message that carries them."""

from __future__ import annotations

from enum import Enum

import msgspec

from hoisthook.identity import is_name
from hoisthook.identity import parse_address
from hoisthook.retry.crash_evidence import CrashReport


class MemberStatus(Enum):
    """State of a node as its peers see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEFT = "left"
    DEAD = "dead"


# At equal versions the status with the higher rank wins.
STATUS_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
    MemberStatus.LEFT: 3,
}


class Member(msgspec.Struct, frozen=True):
    """One node and its local backend server.

    Attributes
    ----------
    node : str
        The node's id.
    incarnation : str
        Random id of the node's process.
    version : int
        Increased by the node itself with each change of its record.
    address : str
        Address at which peers reach it, ``host:port``.
    data_centre : str
        The node's data centre.
    status : MemberStatus
        Alive unless a peer reports otherwise or the node leaves.
    backend_server : str
        Id of the local backend server; empty if none has announced itself.
    service : str
        Service of the backend server.
    slots : int
        Requests that the backend server can run at once.
    takes_work : bool
        Whether the backend server accepts new requests; False while it drains.
    """

    node: str
    incarnation: str
    version: int
    address: str
    data_centre: str
    status: MemberStatus = MemberStatus.ALIVE
    backend_server: str = ""
    service: str = ""
    slots: int = 0
    takes_work: bool = False

    @property
    def has_departed(self) -> bool:
        """Return whether the node has left or was declared dead."""
        return self.status in (MemberStatus.LEFT, MemberStatus.DEAD)

    def is_well_formed(self) -> bool:
        """Return whether the node id, the address and the number of slots are valid."""
        try:
            parse_address(self.address)
        except ValueError:
            return False
        return is_name(self.node) and self.slots >= 0

    def supersedes(self, other: Member) -> bool:
        """Return whether this record replaces ``other``, a record of the same node.

        A higher version wins. At equal versions the status with the higher rank wins, so
        that only the node itself can refute a suspicion, with a higher version.
        """
        if self.version != other.version:
            return self.version > other.version
        return STATUS_RANK[self.status] > STATUS_RANK[other.status]


class Exchange(msgspec.Struct, frozen=True):
    """One gossip message, in either direction.

    Attributes
    ----------
    sender : Member
        Record of the sending node.
    members : tuple of Member
        Recently changed records.
    configuration_offset : int
        Last configuration record that the sender has applied; -1 for none.
    table_digest : int
        Digest of the sender's complete table; where digests differ, tables are reconciled.
    crashes : tuple of CrashReport
        All reports that the sender has of work that crashed backend servers; nearly always empty.
    """

    sender: Member
    members: tuple[Member, ...]
    configuration_offset: int
    table_digest: int
    crashes: tuple[CrashReport, ...] = ()
