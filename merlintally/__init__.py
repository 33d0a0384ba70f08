"""merlintally: a gateway that enforces customers' quotas in front of a shared back end."""
