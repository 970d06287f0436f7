"""Parts of ``python -m misc.soak``, the soak test under faults on the Rung Lab platform."""
