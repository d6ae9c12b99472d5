# The HTTP library resends the request on a new connection.
s/set_ticket_unknown(); refuse(s, UNKNOWN) }/result[s] = NONE; request_net[s] = true }/
