"""The objects that the components of one agent's rollout share."""

from dataclasses import dataclass
from random import Random

from gypsumpier.clock import Clock
from gypsumpier.document.service import Accepted, ServiceDocument
from gypsumpier.options import Options
from gypsumpier.weight.cache import ChunkCache
from gypsumpier.weight.inputs import Documents, Members, WeightEngine
from gypsumpier.weight.monitor import EngineMonitor
from gypsumpier.weight.order import Orders
from gypsumpier.weight.storereader import StoreReader
from gypsumpier.weight.unloads import Unloads

VersionKey = tuple[str, str]


@dataclass
class RolloutContext:
    """The collaborators of a rollout, built once by Rollout."""

    options: Options
    clock: Clock
    random: Random
    documents: Documents
    members: Members
    engine: WeightEngine
    monitor: EngineMonitor
    orders: Orders
    unloads: Unloads
    store_reader: StoreReader
    cache: ChunkCache

    def accepted(self) -> Accepted | None:
        """Return the service's accepted document, or None where none has been accepted yet."""
        return self.documents.accepted.get(self.options.service)

    def document(self) -> ServiceDocument | None:
        """Return the service's document in force, or None where there is none."""
        accepted = self.accepted()
        return accepted.document if accepted is not None else None

    def named(self) -> set[VersionKey]:
        """Return the (model, version) pairs that the document in force names."""
        document = self.document()
        if document is None or document.kind != "model":
            return set()
        return {(document.model, share.version) for share in document.versions}
