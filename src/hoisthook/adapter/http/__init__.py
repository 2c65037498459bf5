"""HTTP/1.1 exchanges on the call path, parsed by httptools."""

from __future__ import annotations
