"""A backend server that the ingress node may choose."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hoisthook.identity import Address
    from hoisthook.membership.member import Member
    from hoisthook.routing.load_view import LoadView


@dataclass(slots=True)
class Candidate:
    """A member, its parsed address, and the ingress node's view of its load."""

    member: Member
    address: Address
    view: LoadView
    local: bool
