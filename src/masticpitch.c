#include "masticpitch/masticpitch.h"

#define VERSION "0.1.0"

const char *
masticpitch_strerror(int error)
{
	switch (error) {
	case MASTICPITCH_OK:
		return "success";
	case MASTICPITCH_E_NOMEM:
		return "out of memory";
	case MASTICPITCH_E_INVALID:
		return "invalid input";
	case MASTICPITCH_E_LIMIT:
		return "limit reached";
	case MASTICPITCH_E_IO:
		return "input/output error";
	case MASTICPITCH_E_ADDRESS_IN_USE:
		return "address in use";
	case MASTICPITCH_E_UNREACHABLE:
		return "unreachable";
	case MASTICPITCH_E_TIMEOUT:
		return "deadline passed";
	case MASTICPITCH_E_CONFLICT:
		return "conflict with another write";
	case MASTICPITCH_E_NOT_FOUND:
		return "not found";
	case MASTICPITCH_E_UNKNOWN:
		return "outcome unknown";
	case MASTICPITCH_E_DENIED:
		return "not allowed";
	case MASTICPITCH_E_STALE:
		return "older than the current version";
	case MASTICPITCH_E_CANCELLED:
		return "cancelled";
	case MASTICPITCH_E_SYNTAX:
		return "wrong command line";
	case MASTICPITCH_E_EXISTS:
		return "already exists";
	default:
		return "unknown error";
	}
}

const char *
masticpitch_version(void)
{
	return VERSION;
}
