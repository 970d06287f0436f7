"""Weights: manifests, the exchange of chunks between agents, and the switch of versions.

Three rules keep a partial or mixed model from ever being live.  A chunk is known by its digest
and is verified before it is handed to the engine or to a peer.  What is staged at the engine is
kept under the digest of one manifest, so two contents of one version name can't meet.  A load is
ordered only after each file's own digest has been checked over its whole content.
"""
