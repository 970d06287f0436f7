"""Small stand-ins for the platform's services and for upstreams, for tests and measurements.

Each is a tornado application that runs in a test's own event loop or as a process
(``python -m gypsumpier.test.standin.NAME --port 0``), which prints ``listening PORT``.  Paths
below ``/control/`` set faults and return counts; faults never apply to these paths.
"""
