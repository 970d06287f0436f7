"""Measures how costs grow with the fleet: one module for each group of slopes.

Each slope has at least four sizes that double, measured on real processes or on the package's own
code in a process of its own, beside small stand-ins.  A straight line is fitted and read at the
size that the system has to carry in two years.
"""
