package org.hollypick.control;

import java.util.Map;
import org.hollypick.agent.AgentClient;
import org.hollypick.cloud.CloudClient;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.control.graphs.GraphFactory;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.MachineType;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;

/**
 * The components of a controller that live as long as its process; each {@link LeaderTerm} uses them. Confined to the
 * event loop.
 *
 * @param replica the watched replica of the store's records
 * @param dependencies the dependency graph of the jobs in {@code replica}
 * @param machineTypes the cloud's machine types by name; refreshed in place, with their prices
 * @param graphFactory creates task graphs, if they are enabled in the operator settings
 */
public record ControllerContext(
        EventLoop eventLoop,
        Settings settings,
        OperatorSettings operatorSettings,
        StoreReplica replica,
        JobDependencies dependencies,
        KeyValueStoreClient store,
        CloudClient cloud,
        AgentClient agentClient,
        Map<String, MachineType> machineTypes,
        Membership membership,
        GraphFactory graphFactory) {}
