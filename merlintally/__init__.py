"""merlintally: a gateway that holds customers to their quotas before a shared back end."""
