package loadbalancer.simulation;

import java.util.List;
import loadbalancer.model.AttemptOutcome;
import loadbalancer.model.AttemptResult;
import loadbalancer.model.ClientRequest;
import loadbalancer.model.Endpoint;
import loadbalancer.model.EndpointUpdateType;
import loadbalancer.model.PolicySettings;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.settings.MalformedInputException;

/**
 * Decodes the events of one frame. Each is returned as a {@link Runnable} that calls the policy
 * with the decoded arguments, so that the caller can tell malformed input from an exception of the
 * policy. Times are in milliseconds.
 */
final class EventDecoder {

  // Offsets of fields in a record, in bytes, each prefixed with the kind of event.

  private static final int REQUEST_ID = 5;

  private static final int TIMER_TOKEN = 5;

  private static final int UPDATE_TYPE = 5;
  private static final int UPDATE_LIST_NUMBER = 10;

  private static final int REQUEST_CLASS = 13;
  private static final int REQUEST_TENANT = 14;
  private static final int REQUEST_KEY = 16;
  private static final int REQUEST_DEADLINE_MILLIS = 24;
  private static final int REQUEST_COST_ESTIMATE = 32;
  private static final int REQUEST_FLAGS = 40;
  private static final int HAS_COST_ESTIMATE_FLAG = 1;
  private static final int RETRY_FLAG = 2;
  private static final int WRITE_FLAG = 4;

  private static final int STARTED_ATTEMPT = 13;
  private static final int STARTED_ELAPSED_MILLIS = 21;

  private static final int FINISHED_REQUEST_CLOSED = 13;
  private static final int FINISHED_OUTCOME = 14;
  private static final int FINISHED_ENDPOINT = 15;
  private static final int FINISHED_ATTEMPT = 21;
  private static final int FINISHED_ELAPSED_MILLIS = 23;
  private static final int FINISHED_LOAD_REPORT = 31;

  private static final int CHECK_ENDPOINT = 5;
  private static final int CHECK_OUTCOME = 11;
  private static final int CHECK_ELAPSED_MILLIS = 12;
  private static final int CHECK_LOAD_REPORT = 20;

  private static final int PEER_SENDER = 5;
  private static final int PEER_PAYLOAD = 7;

  private static final EndpointUpdateType[] UPDATE_TYPES = EndpointUpdateType.values();

  private final FrameBody body;
  private final double nowMillis;
  private final EndpointLists endpointLists;

  EventDecoder(FrameBody body, double nowMillis, EndpointLists endpointLists) {
    this.body = body;
    this.nowMillis = nowMillis;
    this.endpointLists = endpointLists;
  }

  /**
   * Decodes the record at an offset of the frame's body.
   *
   * @param settings those of the instance; they bound the request class and tenant
   * @throws MalformedInputException if a field has a value that the protocol does not allow
   */
  Runnable decode(
      EventCode code, int recordOffset, LoadBalancingPolicy policy, PolicySettings settings) {
    return switch (code) {
      case ENDPOINTS_CHANGED -> endpointsChanged(recordOffset, policy);
      case REQUEST_ARRIVED -> requestArrived(recordOffset, policy, settings);
      case RESPONSE_STARTED -> responseStarted(recordOffset, policy);
      case ATTEMPT_FINISHED -> attemptFinished(recordOffset, policy);
      case CLIENT_DISCONNECTED -> clientDisconnected(recordOffset, policy);
      case TIMER_EXPIRED -> timerExpired(recordOffset, policy);
      case HEALTH_CHECK_COMPLETED -> healthCheckCompleted(recordOffset, policy);
      case PEER_MESSAGE_RECEIVED -> peerMessageReceived(recordOffset, policy);
      case CREATE_INSTANCE, REMOVE_INSTANCE, DEFINE_ENDPOINT_LIST ->
          throw new IllegalArgumentException(code + " is not an event of the policy");
    };
  }

  private Runnable endpointsChanged(int recordOffset, LoadBalancingPolicy policy) {
    int updateTypeCode = body.unsignedByte(recordOffset + UPDATE_TYPE);
    if (updateTypeCode >= UPDATE_TYPES.length) {
      throw new MalformedInputException(
          "unknown endpoint update type "
              + updateTypeCode
              + ", the highest is "
              + (UPDATE_TYPES.length - 1));
    }
    EndpointUpdateType updateType = UPDATE_TYPES[updateTypeCode];
    List<Endpoint> endpoints =
        updateType == EndpointUpdateType.FAILED
            ? List.of()
            : endpointLists.get(body, recordOffset + UPDATE_LIST_NUMBER);
    return () -> policy.endpointsChanged(nowMillis, updateType, endpoints);
  }

  private Runnable requestArrived(
      int recordOffset, LoadBalancingPolicy policy, PolicySettings settings) {
    ClientRequest request = readRequest(recordOffset, settings);
    return () -> policy.requestArrived(nowMillis, request);
  }

  private ClientRequest readRequest(int recordOffset, PolicySettings settings) {
    int requestClass = body.unsignedByte(recordOffset + REQUEST_CLASS);
    if (requestClass >= settings.requestClasses().size()) {
      throw new MalformedInputException(
          "unknown request class "
              + requestClass
              + ", the settings have "
              + settings.requestClasses().size()
              + " request classes");
    }
    int tenant = body.unsignedShort(recordOffset + REQUEST_TENANT);
    // Tenant 0 is also that of all requests if the settings name no tenants.
    if (tenant > 0 && tenant >= settings.tenants().size()) {
      throw new MalformedInputException(
          "unknown tenant "
              + tenant
              + ", the settings have "
              + settings.tenants().size()
              + " tenants");
    }
    int flags = body.unsignedByte(recordOffset + REQUEST_FLAGS);
    double costEstimate =
        (flags & HAS_COST_ESTIMATE_FLAG) != 0
            ? Math.max(0, body.finiteDouble(recordOffset + REQUEST_COST_ESTIMATE, "cost estimate"))
            : 0;
    return new ClientRequest(
        body.signedLong(recordOffset + REQUEST_ID),
        requestClass,
        tenant,
        body.signedLong(recordOffset + REQUEST_KEY),
        body.finiteDouble(recordOffset + REQUEST_DEADLINE_MILLIS, "deadline"),
        costEstimate,
        (flags & RETRY_FLAG) != 0,
        (flags & WRITE_FLAG) != 0);
  }

  private Runnable responseStarted(int recordOffset, LoadBalancingPolicy policy) {
    long requestId = body.signedLong(recordOffset + REQUEST_ID);
    int attempt = body.unsignedShort(recordOffset + STARTED_ATTEMPT);
    double elapsedMillis = body.finiteDouble(recordOffset + STARTED_ELAPSED_MILLIS, "elapsed");
    return () -> policy.responseStarted(nowMillis, requestId, attempt, elapsedMillis);
  }

  private Runnable attemptFinished(int recordOffset, LoadBalancingPolicy policy) {
    AttemptResult result =
        new AttemptResult(
            body.signedLong(recordOffset + REQUEST_ID),
            body.unsignedShort(recordOffset + FINISHED_ATTEMPT),
            body.endpointId(recordOffset + FINISHED_ENDPOINT),
            body.attemptOutcome(recordOffset + FINISHED_OUTCOME),
            body.unsignedByte(recordOffset + FINISHED_REQUEST_CLOSED) != 0,
            body.finiteDouble(recordOffset + FINISHED_ELAPSED_MILLIS, "elapsed"),
            body.loadReport(recordOffset + FINISHED_LOAD_REPORT));
    return () -> policy.attemptFinished(nowMillis, result);
  }

  private Runnable clientDisconnected(int recordOffset, LoadBalancingPolicy policy) {
    long requestId = body.signedLong(recordOffset + REQUEST_ID);
    return () -> policy.clientDisconnected(nowMillis, requestId);
  }

  private Runnable timerExpired(int recordOffset, LoadBalancingPolicy policy) {
    long token = body.signedLong(recordOffset + TIMER_TOKEN);
    return () -> policy.timerExpired(nowMillis, token);
  }

  private Runnable healthCheckCompleted(int recordOffset, LoadBalancingPolicy policy) {
    long endpointId = body.endpointId(recordOffset + CHECK_ENDPOINT);
    AttemptOutcome outcome = body.attemptOutcome(recordOffset + CHECK_OUTCOME);
    double elapsedMillis = body.finiteDouble(recordOffset + CHECK_ELAPSED_MILLIS, "elapsed");
    double[] loadReport = body.loadReport(recordOffset + CHECK_LOAD_REPORT);
    return () ->
        policy.healthCheckCompleted(nowMillis, endpointId, outcome, elapsedMillis, loadReport);
  }

  private Runnable peerMessageReceived(int recordOffset, LoadBalancingPolicy policy) {
    int senderIndex = body.unsignedShort(recordOffset + PEER_SENDER);
    byte[] payload = body.tailBytes(recordOffset + PEER_PAYLOAD);
    return () -> policy.peerMessageReceived(nowMillis, senderIndex, payload);
  }
}
