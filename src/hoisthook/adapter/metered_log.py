"""Counts what is logged, so that metrics and log lines never disagree."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from hoisthook.mesh.node_status import NodeStatus
    from hoisthook.port.event_log import EventLog

# Seconds; from a hop's time to beyond the longest timeout of the users' routes.
LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0, 4.0)
ANSWERED = "answered"
NOT_ADMITTED = "not_admitted"
EXTRA_TRY = "extra_try"


class MeteredLog:
    """An `EventLog` that hands lines on and counts them.

    A decision beyond the log's bound is counted here all the same.

    Parameters
    ----------
    log : EventLog
        Gets the lines.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self.registry = CollectorRegistry()
        self._events = self._counter("events", "Changes of belief by name.", "event")
        self._answers = self._counter("answers", "Callers' requests by result code.", "code")
        self._not_admitted = self._counter(
            "not_admitted", "Requests not admitted beside, by result code.", "code"
        )
        self._extra_tries = self._counter(
            "extra_tries", "Extra tries asked of the budget, by whether granted.", "granted"
        )
        self._lost = self._counter(
            "lost", "Requests sent with nothing known of their outcome, by where.", "where"
        )
        self._seconds = Histogram(
            "hoisthook_answer_seconds",
            "Time from a caller's request to its answer, by result code.",
            ["code"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._gauge_by_name: dict[str, Gauge] = {}

    def event(self, name: str, **fields: object) -> None:
        """Note something that changes what the process believes."""
        self._events.labels(name).inc()
        self._log.event(name, **fields)

    def decision(self, name: str, **fields: object) -> None:
        """Note a decision that touches one request."""
        if name == ANSWERED:
            code = str(fields["code"])
            self._answers.labels(code).inc()
            self._seconds.labels(code).observe(cast("float", fields["took_ms"]) / 1000.0)
        elif name == NOT_ADMITTED:
            self._not_admitted.labels(str(fields["code"])).inc()
        elif name == EXTRA_TRY:
            self._extra_tries.labels(str(fields["granted"]).lower()).inc()
        else:
            self._lost.labels(name).inc()
        self._log.decision(name, **fields)

    def text(self, status: NodeStatus) -> bytes:
        """Return all metrics as text.

        Parameters
        ----------
        status : NodeStatus
            Shown as gauges.
        """
        for name, value in (
            ("ready", float(status.ready)),
            ("running", float(status.running)),
            ("waiting", float(status.waiting)),
            ("limit", float(status.limit)),
            ("slowdown", status.slowdown),
            ("configuration_version", float(status.configuration)),
            ("peers", float(status.peers)),
            ("store_away", float(status.store_away)),
            ("backend_connections", float(status.backend_connections)),
        ):
            self._gauge(name).set(value)
        return generate_latest(self.registry)

    def _counter(self, name: str, meaning: str, label: str) -> Counter:
        return Counter(f"hoisthook_{name}", meaning, [label], registry=self.registry)

    def _gauge(self, name: str) -> Gauge:
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = Gauge(f"hoisthook_{name}", _GAUGE_MEANINGS[name], registry=self.registry)
            self._gauge_by_name[name] = gauge
        return gauge


_GAUGE_MEANINGS = {
    "ready": "Whether callers may be sent here.",
    "running": "Requests that hold a slot of the backend server beside.",
    "waiting": "Requests that wait for one.",
    "limit": "How many may run there at once.",
    "slowdown": "How many times its usual time work takes there.",
    "configuration_version": "Version of the configuration in force; -1 for none.",
    "peers": "Other nodes that are known.",
    "store_away": "Whether the platform's store does not answer.",
    "backend_connections": "Connections opened to the backend server since the start.",
}
