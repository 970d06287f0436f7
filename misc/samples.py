"""Writes sample weight files in the safetensors format for demonstrations.

Version 2 changes some tensors of version 1, as a further training step would, and shares the other
bytes with it.
"""

import json
import random
import shutil
from pathlib import Path
from typing import Final

TENSORS: Final = 8
TENSOR_BYTES: Final = 1024 * 1024
CHANGED_TENSORS: Final = 4
FLOAT_BYTES: Final = 2


def make_weights(directory: Path, model: str, seed: int) -> None:
    """Write two versions of a model as ``directory/model/version/files``."""
    tensors = [random.Random(f"{seed}/{n}").randbytes(TENSOR_BYTES) for n in range(TENSORS)]
    write_version(directory / model / "1", model, tensors)
    for number in range(CHANGED_TENSORS):
        tensors[number] = random.Random(f"{seed}/changed/{number}").randbytes(TENSOR_BYTES)
    write_version(directory / model / "2", model, tensors)


def write_version(directory: Path, model: str, tensors: list[bytes]) -> None:
    """Write the files of one version."""
    directory.mkdir(parents=True)
    (directory / "model.safetensors").write_bytes(safetensors(tensors))
    description = {"model_type": model, "num_hidden_layers": len(tensors)}
    (directory / "config.json").write_text(json.dumps(description))


def safetensors(tensors: list[bytes]) -> bytes:
    """Return the tensors as a safetensors file: the header's length, the header, the data."""
    header = {}
    offset = 0
    for number, content in enumerate(tensors):
        header[f"layers.{number}.weight"] = {
            "dtype": "F16",
            "shape": [len(content) // FLOAT_BYTES],
            "data_offsets": [offset, offset + len(content)],
        }
        offset += len(content)
    text = json.dumps(header).encode()
    return len(text).to_bytes(8, "little") + text + b"".join(tensors)


def copy_weights(source: Path, directory: Path, model: str) -> None:
    """Copy the files of ``source`` as version 1, and with an added JSON file as version 2."""
    for version in ("1", "2"):
        shutil.copytree(source, directory / model / version)
    note = {"version": "2", "comment": "the weights of version 1, published again"}
    (directory / model / "2" / "gypsumpier_demo.json").write_text(json.dumps(note))
