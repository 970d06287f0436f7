"""The parts of the fault soak on the Rung Lab platform, ``python -m misc.soak``."""
