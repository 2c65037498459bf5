from __future__ import annotations

import pytest

from standin.soak import Soak

SHORT_SECONDS = 4.0


@pytest.mark.parametrize("seed", [1])
async def test_short_soak_keeps_every_promise(seed: int) -> None:
    findings = await Soak(seed, SHORT_SECONDS).run()
    assert findings.broken == []
    assert findings.statuses[200] > 0
