"""Prometheus counters, histograms and gauges of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from hoisthook.mesh.node_status import NodeStatus

# Upper bounds in seconds, from the duration of a hop to beyond the longest timeout of the routes.
LATENCY_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0, 4.0)
# Help text and label of each counter.
_COUNTERS = {
    "events": ("Changes of the observed state by name.", "event"),
    "answers": ("Callers' requests by result code.", "code"),
    "not_admitted": ("Requests that this node did not admit, by result code.", "code"),
    "extra_tries": ("Extra tries requested from the budget, by whether granted.", "granted"),
    "lost": ("Requests sent whose outcome is unknown, by where they were lost.", "where"),
}


class Meters:
    """All metrics that the metrics endpoint exports."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counter_by_name = {
            name: Counter(f"hoisthook_{name}", help_text, [label], registry=self._registry)
            for name, (help_text, label) in _COUNTERS.items()
        }
        self._seconds = Histogram(
            "hoisthook_answer_seconds",
            "Time from a caller's request to its answer, by result code.",
            ["code"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._gauge_by_name = {
            name: Gauge(f"hoisthook_{name}", help_text, registry=self._registry)
            for name, help_text in _GAUGE_HELP_TEXTS.items()
        }

    def count(self, counter: str, label: str, times: int) -> None:
        """Add to a counter."""
        self._counter_by_name[counter].labels(label).inc(times)

    def answered(self, code: str, seconds: float) -> None:
        """Record the duration of a request."""
        self._seconds.labels(code).observe(seconds)

    def text(self, status: NodeStatus) -> bytes:
        """Return all metrics in the Prometheus text format.

        Parameters
        ----------
        status : NodeStatus
            Exported as gauges.
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
            ("evacuated_data_centres", float(status.evacuated)),
            ("backend_cold", float(status.cold)),
            ("refused_work", float(status.refused_work)),
            ("repeats_arrived", status.repeats.arrived),
            ("repeats_requests", status.repeats.requests),
            ("repeats_part", status.repeats.part),
            ("repeats_level", status.repeats.level),
            ("repeats_nodes", float(status.repeats.nodes)),
            ("stalled_seconds", status.stalled_seconds),
        ):
            self._gauge_by_name[name].set(value)
        return generate_latest(self._registry)


_GAUGE_HELP_TEXTS = {
    "ready": "Whether the node accepts requests of callers.",
    "running": "Requests that hold a slot of the local backend server.",
    "waiting": "Requests that wait for a slot of the local backend server.",
    "limit": "Limit on the requests that run at the local backend server.",
    "slowdown": "Ratio of the current to the usual execution time at the local backend server.",
    "configuration_version": "Version of the configuration in force; -1 for none.",
    "peers": "Number of other known nodes.",
    "store_away": "Whether the platform's store does not answer.",
    "backend_connections": "Connections opened to the local backend server since the start.",
    "evacuated_data_centres": "Data centres that operators have evacuated.",
    "backend_cold": "Whether the local backend server reports a cold start.",
    "refused_work": "Works refused because several backend servers crashed under them.",
    "repeats_arrived": "Repeats sent to the local backend server since the start.",
    "repeats_requests": "Callers' requests since the start, which add to the repeat budget.",
    "repeats_part": "This node's part of the fixed number of repeats in a window.",
    "repeats_level": "Repeats that this node may admit now; negative while it is over its budget.",
    "stalled_seconds": "Total time for which the event loop has stalled since the start.",
    "repeats_nodes": "Nodes that share the fixed number of repeats; 0 while it is not known.",
}
