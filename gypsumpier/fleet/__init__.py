"""A process's view of the deployment it serves: configuration, upstreams and wanted versions.

The types here are the product's own.  ``gypsumpier.platform`` decodes the platform's formats into
them, and nothing outside that package depends on those formats.
"""
