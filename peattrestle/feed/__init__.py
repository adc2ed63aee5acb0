"""The control feed: parsing its event stream and applying each numbered event once, without I/O or clock."""
