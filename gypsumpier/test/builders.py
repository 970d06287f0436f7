"""Builders of test data: documents, members and directories of weights.

Each builder returns valid data; keyword arguments replace individual fields.
"""

import json
import random
import struct
from pathlib import Path
from typing import Any, Final

from gypsumpier.external.membership import Member

SERVICE: Final = "gypsum-llm"
MODEL: Final = "gypsum"
ZONE: Final = "bac-a"
REGION: Final = "bac"


def model_document(**fields: Any) -> dict[str, Any]:
    """Return the JSON object of a model service's document."""
    document: dict[str, Any] = {
        "service": SERVICE,
        "kind": "model",
        "model": MODEL,
        "versions": [{"version": "v1", "share_percent": 100}],
        "zones": [{"zone": ZONE, "replicas": 2}],
        "max_unavailable": 1,
        "routes": [{"prefix": "/", "methods": ["POST"], "idempotent": True, "priority": 1}],
        "limits": {"in_flight_per_upstream": 32, "body_bytes": 65536, "deadline_s": 30.0},
        "workspaces": [workspace("lab", 1), workspace("crew", 3)],
        "engines_honour_fencing": True,
    }
    return document | fields


def plain_document(**fields: Any) -> dict[str, Any]:
    """Return the JSON object of a plain service's document."""
    document = model_document(
        service="table-ops",
        kind="plain",
        routes=[
            {"prefix": "/", "methods": ["GET"], "idempotent": True, "priority": 1},
            {"prefix": "/commands", "methods": ["POST"], "idempotent": False, "priority": 2},
        ],
    )
    for model_field in ("model", "versions", "engines_honour_fencing"):
        del document[model_field]
    return document | fields


def workspace(name: str, weight: int, home_zone: str = ZONE) -> dict[str, Any]:
    """Return the JSON object of a workspace's policy."""
    return {"name": name, "weight": weight, "home_zone": home_zone}


def document_bytes(document: dict[str, Any]) -> bytes:
    """Return the document in the form in which the configuration service stores it."""
    return json.dumps(document).encode()


def agent(number: int = 0, **fields: Any) -> Member:
    """Return the member record of an agent."""
    member = Member(
        name=f"{SERVICE}/{ZONE}/{number}",
        incarnation=f"incarnation-{number}",
        role="agent",
        service=SERVICE,
        region=REGION,
        zone=ZONE,
        host="127.0.0.1",
        port=10_000 + number,
        bulk_port=20_000 + number,
        leaving=False,
    )
    return member._replace(**fields)


def entry(number: int = 0, **fields: Any) -> Member:
    """Return the member record of an entry."""
    name = f"entry/{ZONE}/{number}"
    member = agent(number, name=name, role="entry", service="", bulk_port=0, port=30_000 + number)
    return member._replace(**fields)


def write_weights(
    directory: Path, model: str, version: str, size_bytes: int, seed: int = 0, parts: int = 2
) -> Path:
    """Write one version into a store's directory; return the directory of the version.

    The version has ``parts`` files in the safetensors format, with ``size_bytes`` of tensors in
    total, and a JSON file.  The tensors depend on the seed, not on the version's name.
    """
    folder = directory / model / version
    folder.mkdir(parents=True, exist_ok=True)
    for part in range(parts):
        tensor_bytes = size_bytes // parts
        content = random.Random(f"{seed}/{part}").randbytes(tensor_bytes)
        name = f"model-{part + 1:05}-of-{parts:05}.safetensors"
        (folder / name).write_bytes(safetensors(content))
    config = {"model": model, "version": version, "seed": seed}
    (folder / "config.json").write_text(json.dumps(config))
    return folder


def safetensors(content: bytes) -> bytes:
    """Return a safetensors file with one tensor: header length, JSON header, content."""
    tensor = {"dtype": "U8", "shape": [len(content)], "data_offsets": [0, len(content)]}
    header = json.dumps({"weight": tensor}).encode()
    return struct.pack("<Q", len(header)) + header + content
