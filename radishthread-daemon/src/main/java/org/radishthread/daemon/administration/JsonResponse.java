package org.radishthread.daemon.administration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An answer of the administration port.
 *
 * @param status the HTTP status
 * @param body the content
 */
record JsonResponse(int status, JsonNode body) {
}
