"""What a process believes of the deployment it serves: configuration, upstreams, wanted versions.

The types here are the product's own.  ``gypsumpier.platform`` decodes the platform's formats into
them, and nothing outside that package knows those formats.
"""
