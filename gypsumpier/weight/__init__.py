"""Weights: manifests, the exchange of chunks between agents, and the switch of versions.

Three rules prevent a partial or mixed model from ever being live.  A chunk is identified by its
digest and is verified before it is sent to the engine or to a peer.  Staged content is stored at
the engine under the digest of one manifest, so two contents published under one version name are
never mixed.  A load is ordered only after the digest of each file has been checked over the whole
file.
"""
