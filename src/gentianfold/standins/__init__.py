"""Stand-ins for the platform's store and upstreams, for tests and the demo.

They follow the platform's published protocol and encode its messages with
``gentianfold.platform.wire``.
"""
