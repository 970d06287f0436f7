"""Gypsumpier distributes model weights in bursts and routes requests to the instances.

Two programs share this package.  The daemon, ``gypsumpierd``, runs in one of two roles: an
*entry* takes callers' HTTP requests and an *agent* sits beside one upstream.  The command-line
tool, ``gypsumpier``, reads their administration API and writes nothing.

Every decision is taken by the process where it has its effect, from the documents that process
has accepted, the platform's member list and its own observations.  Two processes with different
views may decide less well, but never unsafely: no safety property rests on views agreeing.
"""
