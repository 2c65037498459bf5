"""The system calls of a running node, traced with strace."""

from __future__ import annotations

import re
import shutil
import sys
from typing import TYPE_CHECKING

import pytest

from standin.cluster import Cluster
from standin.cluster import Options
from tests.process.test_processes import INGRESS_SERVICE
from tests.process.test_processes import SMALL
from tests.process.test_processes import Caller
from tool.build_dist import build

if TYPE_CHECKING:
    from pathlib import Path

FORBIDDEN = {
    *("clone", "clone3", "fork", "vfork"),
    *("io_uring_setup", "io_uring_enter", "io_uring_register"),
    *("shmget", "shmat", "memfd_create"),
}
WRITING = re.compile(r"O_WRONLY|O_RDWR|O_CREAT")


@pytest.mark.parametrize("packed", [False, True], ids=["source", "one file"])
async def test_node_starts_no_process_and_uses_no_io_uring_or_shared_memory(
    tmp_path: Path, packed: bool
) -> None:
    strace = shutil.which("strace")
    assert strace, "strace is needed; .ci/run installs it"
    options = Options()
    trace = ["-e", "trace=process,%file,io_uring_setup,io_uring_enter,shmget,shmat,memfd_create"]
    # With -ff each traced process or thread writes a file of its own.
    options.program = [strace, "-D", "-ff", "-qq", "-o", str(tmp_path / "trace"), *trace]
    if packed:
        build(tmp_path / "hoisthook")
        # Without site packages, as on an instance that has only Python.
        options.program += [sys.executable, "-S", str(tmp_path / "hoisthook")]
    else:
        options.program += [sys.executable, "-B", "-m", "hoisthook"]
    cluster = Cluster(SMALL, options)
    caller = Caller(cluster)
    try:
        await cluster.start()
        ingress = cluster.of(INGRESS_SERVICE)[0]
        key = await caller.key(ingress)
        assert (await caller.send(ingress, "r", key=key))[0] == "0"
        assert (await caller.send(ingress, "s"))[0] == "0"
    finally:
        await caller.session.close()
        statuses = await cluster.close()
    assert statuses == [0] * len(statuses)
    traces = sorted(tmp_path.glob("trace.*"))
    assert len(traces) == len(statuses)
    for path in traces:
        lines = path.read_text().splitlines()
        calls = [line.split("(", 1)[0] for line in lines]
        assert not FORBIDDEN & set(calls)
        assert calls.count("execve") == 1
        opened_for_writing = [
            line for line in lines if line.startswith("open") and WRITING.search(line)
        ]
        written = [line for line in opened_for_writing if "/dev/null" not in line]
        if packed:
            # Extension modules and the probe file of `tempfile`, each deleted again.
            deleted = {name_in(line) for line in lines if line.startswith("unlink")}
            assert {name_in(line) for line in written} <= deleted
            assert all('"/tmp/' in line for line in written)
        else:
            assert written == []


def name_in(line: str) -> str:
    """Return the last part of the path that a traced call names."""
    return line.split('"')[1].rpartition("/")[2]
