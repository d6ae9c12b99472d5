# The HTTP library sends the request again on a new connection.
s/forget(); refuse(s, UNKNOWN) }/result[s] = NONE; request_net[s] = true }/
