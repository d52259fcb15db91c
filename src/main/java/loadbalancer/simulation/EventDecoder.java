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
 * Checks the fields of the events of one frame and binds each to its call of the policy. Times are
 * in milliseconds.
 */
final class EventDecoder {

  /** Offset in the record, in bytes; likewise below. */
  private static final int REQUEST_ID = 5;

  private static final int TIMER_TOKEN = 5;

  private static final int UPDATE_TYPE = 5;
  private static final int UPDATE_LIST = 10;

  private static final int REQUEST_CLASS = 13;
  private static final int REQUEST_TENANT = 14;
  private static final int REQUEST_KEY = 16;
  private static final int REQUEST_DEADLINE = 24;
  private static final int REQUEST_COST = 32;
  private static final int REQUEST_FLAGS = 40;
  private static final int HAS_COST_FLAG = 1;
  private static final int RETRY_FLAG = 2;
  private static final int WRITE_FLAG = 4;

  private static final int STARTED_ATTEMPT = 13;
  private static final int STARTED_ELAPSED = 21;

  private static final int FINISHED_REQUEST_CLOSED = 13;
  private static final int FINISHED_OUTCOME = 14;
  private static final int FINISHED_ENDPOINT = 15;
  private static final int FINISHED_ATTEMPT = 21;
  private static final int FINISHED_ELAPSED = 23;
  private static final int FINISHED_LOAD_REPORT = 31;

  private static final int CHECK_ENDPOINT = 5;
  private static final int CHECK_OUTCOME = 11;
  private static final int CHECK_ELAPSED = 12;
  private static final int CHECK_LOAD_REPORT = 20;

  private static final int PEER_SENDER = 5;
  private static final int PEER_PAYLOAD = 7;

  private static final EndpointUpdateType[] UPDATE_TYPES = EndpointUpdateType.values();

  private final FrameBody body;
  private final double now;
  private final EndpointLists lists;

  EventDecoder(FrameBody body, double now, EndpointLists lists) {
    this.body = body;
    this.now = now;
    this.lists = lists;
  }

  /**
   * Decodes the record at {@code at}.
   *
   * @throws MalformedInputException if a field has a value that the protocol does not allow
   */
  Runnable decode(EventCode code, int at, LoadBalancingPolicy policy, PolicySettings settings) {
    return switch (code) {
      case ENDPOINTS_CHANGED -> endpointsChanged(at, policy);
      case REQUEST_ARRIVED -> requestArrived(at, policy, settings);
      case RESPONSE_STARTED -> responseStarted(at, policy);
      case ATTEMPT_FINISHED -> attemptFinished(at, policy);
      case CLIENT_DISCONNECTED -> clientDisconnected(at, policy);
      case TIMER_EXPIRED -> timerExpired(at, policy);
      case HEALTH_CHECK_COMPLETED -> healthCheckCompleted(at, policy);
      case PEER_MESSAGE_RECEIVED -> peerMessageReceived(at, policy);
      case CREATE_INSTANCE, REMOVE_INSTANCE, DEFINE_ENDPOINT_LIST ->
          throw new IllegalArgumentException(code + " is no event of the policy");
    };
  }

  private Runnable endpointsChanged(int at, LoadBalancingPolicy policy) {
    int typeCode = body.unsignedByte(at + UPDATE_TYPE);
    if (typeCode >= UPDATE_TYPES.length) {
      throw new MalformedInputException("unknown list kind " + typeCode);
    }
    EndpointUpdateType type = UPDATE_TYPES[typeCode];
    List<Endpoint> endpoints =
        type == EndpointUpdateType.FAILED ? List.of() : lists.get(body, at + UPDATE_LIST);
    return () -> policy.endpointsChanged(now, type, endpoints);
  }

  private Runnable requestArrived(int at, LoadBalancingPolicy policy, PolicySettings settings) {
    ClientRequest request = readRequest(at, settings);
    return () -> policy.requestArrived(now, request);
  }

  private ClientRequest readRequest(int at, PolicySettings settings) {
    int requestClass = body.unsignedByte(at + REQUEST_CLASS);
    if (requestClass >= settings.requestClasses().size()) {
      throw new MalformedInputException("unknown class " + requestClass);
    }
    int tenant = body.unsignedShort(at + REQUEST_TENANT);
    if (tenant > 0 && tenant >= settings.tenants().size()) {
      throw new MalformedInputException("unknown tenant " + tenant);
    }
    int flags = body.unsignedByte(at + REQUEST_FLAGS);
    double cost =
        (flags & HAS_COST_FLAG) != 0
            ? Math.max(0, body.finiteDouble(at + REQUEST_COST, "cost hint"))
            : 0;
    return new ClientRequest(
        body.signedLong(at + REQUEST_ID),
        requestClass,
        tenant,
        body.signedLong(at + REQUEST_KEY),
        body.finiteDouble(at + REQUEST_DEADLINE, "deadline"),
        cost,
        (flags & RETRY_FLAG) != 0,
        (flags & WRITE_FLAG) != 0);
  }

  private Runnable responseStarted(int at, LoadBalancingPolicy policy) {
    long requestId = body.signedLong(at + REQUEST_ID);
    int attempt = body.unsignedShort(at + STARTED_ATTEMPT);
    double elapsedMillis = body.finiteDouble(at + STARTED_ELAPSED, "elapsed");
    return () -> policy.responseStarted(now, requestId, attempt, elapsedMillis);
  }

  private Runnable attemptFinished(int at, LoadBalancingPolicy policy) {
    AttemptResult result =
        new AttemptResult(
            body.signedLong(at + REQUEST_ID),
            body.unsignedShort(at + FINISHED_ATTEMPT),
            body.endpointId(at + FINISHED_ENDPOINT),
            body.attemptOutcome(at + FINISHED_OUTCOME),
            body.unsignedByte(at + FINISHED_REQUEST_CLOSED) != 0,
            body.finiteDouble(at + FINISHED_ELAPSED, "elapsed"),
            body.loadReport(at + FINISHED_LOAD_REPORT));
    return () -> policy.attemptFinished(now, result);
  }

  private Runnable clientDisconnected(int at, LoadBalancingPolicy policy) {
    long requestId = body.signedLong(at + REQUEST_ID);
    return () -> policy.clientDisconnected(now, requestId);
  }

  private Runnable timerExpired(int at, LoadBalancingPolicy policy) {
    long token = body.signedLong(at + TIMER_TOKEN);
    return () -> policy.timerExpired(now, token);
  }

  private Runnable healthCheckCompleted(int at, LoadBalancingPolicy policy) {
    long endpointId = body.endpointId(at + CHECK_ENDPOINT);
    AttemptOutcome outcome = body.attemptOutcome(at + CHECK_OUTCOME);
    double elapsedMillis = body.finiteDouble(at + CHECK_ELAPSED, "elapsed");
    double[] loadReport = body.loadReport(at + CHECK_LOAD_REPORT);
    return () -> policy.healthCheckCompleted(now, endpointId, outcome, elapsedMillis, loadReport);
  }

  private Runnable peerMessageReceived(int at, LoadBalancingPolicy policy) {
    int sender = body.unsignedShort(at + PEER_SENDER);
    byte[] payload = body.tailBytes(at + PEER_PAYLOAD);
    return () -> policy.peerMessageReceived(now, sender, payload);
  }
}
