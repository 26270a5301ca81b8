#pragma once

/// HTTP server and client. New code includes the header of the one it needs.
#include "net/http_client.h"
#include "net/http_server.h"
