"""Scaled-down versions of the two users' deployments."""

from __future__ import annotations

from dataclasses import dataclass

from hoisthook.configuration.service_spec import OperationSpec
from hoisthook.configuration.service_spec import ServiceSpec


@dataclass(frozen=True, slots=True)
class Deployment:
    """Data centres, and the number of backend servers of each service.

    Attributes
    ----------
    slots : int
        Requests that a backend server executes at a time.
    """

    name: str
    data_centres: tuple[str, ...]
    count_by_service: dict[str, int]
    slots: int

    def specs(self) -> list[ServiceSpec]:
        """Return the services' specifications."""
        search = OperationSpec("POST", "/search", repeatable=True)
        return [ServiceSpec(name, (search,)) for name in self.count_by_service]


TERANGA = Deployment(
    name="teranga",
    data_centres=("kaolack", "fatick", "kaffrine"),
    count_by_service={
        "subscriber-accounts": 4,
        "airtime-top-up": 3,
        "antenna-registry": 3,
        "coverage-and-towers": 3,
    },
    slots=12,
)
SEVA = Deployment(
    name="seva",
    data_centres=("salt-lake-hall", "howrah-hall", "barasat-hall"),
    count_by_service={
        "roster-viewer": 4,
        "duty-sign-on": 3,
        "pass-issuing": 3,
        "emergency-callout": 3,
    },
    slots=6,
)
BY_NAME = {deployment.name: deployment for deployment in (TERANGA, SEVA)}
