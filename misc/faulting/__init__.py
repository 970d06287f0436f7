"""Parts of ``python -m misc.faults``, which checks guarantees to callers under seeded faults."""
