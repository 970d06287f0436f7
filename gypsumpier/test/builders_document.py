"""Builders of documents for tests."""

import json
from typing import Any

from hypothesis import strategies as st

from gypsumpier.external.configuration import DocumentRevision

ZONES = ("bac-a", "trung-a", "nam-a")


def document_fields(**changes: Any) -> dict[str, Any]:
    """Return the fields of a valid model document with the given ones replaced."""
    fields: dict[str, Any] = {
        "service": "gypsum-llm",
        "kind": "model",
        "model": "gypsum-7b",
        "versions": [{"version": "v1", "share_percent": 100}],
        "zones": [{"zone": zone, "replicas": 2} for zone in ZONES],
        "live_by": "2026-12-03T22:00:00Z",
        "max_unavailable": 1,
        "routes": [{"prefix": "/v1", "methods": ["POST"], "idempotent": True, "priority": 3}],
        "limits": {"in_flight_per_upstream": 8, "body_bytes": 65536, "deadline_s": 20},
        "workspaces": [{"name": "lab", "weight": 2, "home_zone": "bac-a"}],
        "engines_honour_fencing": True,
    }
    return fields | changes


def document_body(**changes: Any) -> bytes:
    """Return the bytes of a valid model document with the given fields replaced."""
    return json.dumps(document_fields(**changes)).encode()


def revised(name: str = "gypsum-llm", revision: int = 1, **changes: Any) -> DocumentRevision:
    """Return a valid revision of the named service."""
    return DocumentRevision(name, revision, document_body(service=name, **changes))


def refused_revision(name: str = "gypsum-llm", revision: int = 1) -> DocumentRevision:
    """Return an invalid revision, whose version shares do not sum to 100 percent."""
    return revised(name, revision, versions=[{"version": "v1", "share_percent": 99}])


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 10**6) | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)
"""Any JSON value, and also NaN and the infinities, which JSON does not have."""
