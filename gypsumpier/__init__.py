"""Gypsumpier distributes model weights in bursts and routes requests to upstreams that serve them.

Two programs share this package.  The daemon, ``gypsumpierd``, runs in one of two roles: an
*entry* takes callers' HTTP requests and an *agent* sits beside one upstream.  The command-line
tool, ``gypsumpier``, reads their administration API and writes nothing.

Every decision is made by the process in which it takes effect, from the documents that process
has accepted, the platform's member list and its own observations.  Processes whose views differ
may make worse decisions, but never unsafe ones: no safety property depends on agreeing views.
"""
