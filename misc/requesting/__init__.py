"""Parts of the request measurements, ``python -m misc.measure_requests``."""
