"""Statement of a backend server that it takes no more requests."""

from __future__ import annotations

import msgspec

from hoisthook.identity import InstanceId
from hoisthook.membership.backend_incarnation import BackendIncarnation


class Withdrawal(msgspec.Struct, frozen=True, omit_defaults=True):
    """The withdrawal of one incarnation of a backend server.

    Attributes
    ----------
    instance : InstanceId
        Id of the incarnation.
    born : int or None
        Its start in Unix milliseconds; None if it does not report it.
    sequence : int or None
        Sequence number of the announcement that it is draining, which a later announcement may
        revoke; None if the withdrawal is final.
    """

    instance: InstanceId
    born: int | None = None
    sequence: int | None = None

    @property
    def is_final(self) -> bool:
        """Return whether no announcement of the incarnation revokes it."""
        return self.sequence is None

    @property
    def incarnation(self) -> BackendIncarnation:
        """Return the incarnation that was withdrawn."""
        return BackendIncarnation(self.instance, self.born)
