"""What the parts of one agent's rollout share."""

from dataclasses import dataclass
from random import Random

from gypsumpier.clock import Clock
from gypsumpier.options import Options
from gypsumpier.platform.engine import Engine
from gypsumpier.weight.cache import ChunkCache
from gypsumpier.weight.draw import Draws
from gypsumpier.weight.inputs import Documents, Members
from gypsumpier.weight.monitor import EngineMonitor
from gypsumpier.weight.order import Orders


@dataclass
class RolloutContext:
    """The collaborators of a rollout, built once by Rollout."""

    options: Options
    clock: Clock
    random: Random
    documents: Documents
    members: Members
    engine: Engine
    monitor: EngineMonitor
    orders: Orders
    draws: Draws
    cache: ChunkCache
