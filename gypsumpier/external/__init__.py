"""External systems: a protocol for each, and one module that implements it over HTTP.

If the format of an external system changes, only its ``*_http`` module has to change.
"""
