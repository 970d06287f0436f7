"""Measures how costs grow with the fleet: one module for each group of slopes.

Each slope has at least four sizes, each twice the one before.  They are measured on real processes,
or on the package's own code in a separate process, with small stand-ins around it.  A straight line
is fitted and extrapolated to the size that the system has to carry in two years.
"""
